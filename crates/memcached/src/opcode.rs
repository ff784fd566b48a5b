//! Opcodes of the binary protocol: "Command Opcodes" of its description; SASL, TOUCH and GAT from their own
//! pages; 0x23 and 0x24 from `protocol_binary.h`.

/// A command's opcode. Any byte is valid, whether or not the protocol defines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Opcode(pub u8);

macro_rules! opcodes {
    ($($name:ident = $number:literal $(, quiet $non_quiet:ident)?;)*) => {
        #[allow(missing_docs)]
        impl Opcode {
            $(pub const $name: Opcode = Opcode($number);)*

            /// All defined opcodes, in ascending order.
            pub const ALL: &'static [Opcode] = &[$(Opcode::$name),*];

            /// The command's name, `None` for an undefined opcode.
            pub fn name(self) -> Option<&'static str> {
                match self.0 {
                    $($number => Some(stringify!($name)),)*
                    _ => None,
                }
            }

            /// The variant of this command that always sends a response; the command itself if it is not
            /// quiet.
            pub fn non_quiet(self) -> Opcode {
                match self {
                    $($(Opcode::$name => Opcode::$non_quiet,)?)*
                    other => other,
                }
            }
        }
    };
}

opcodes! {
    GET = 0x00;
    SET = 0x01;
    ADD = 0x02;
    REPLACE = 0x03;
    DELETE = 0x04;
    INCREMENT = 0x05;
    DECREMENT = 0x06;
    QUIT = 0x07;
    FLUSH = 0x08;
    GETQ = 0x09, quiet GET;
    NOOP = 0x0a;
    VERSION = 0x0b;
    GETK = 0x0c;
    GETKQ = 0x0d, quiet GETK;
    APPEND = 0x0e;
    PREPEND = 0x0f;
    STAT = 0x10;
    SETQ = 0x11, quiet SET;
    ADDQ = 0x12, quiet ADD;
    REPLACEQ = 0x13, quiet REPLACE;
    DELETEQ = 0x14, quiet DELETE;
    INCREMENTQ = 0x15, quiet INCREMENT;
    DECREMENTQ = 0x16, quiet DECREMENT;
    QUITQ = 0x17, quiet QUIT;
    FLUSHQ = 0x18, quiet FLUSH;
    APPENDQ = 0x19, quiet APPEND;
    PREPENDQ = 0x1a, quiet PREPEND;
    VERBOSITY = 0x1b;
    TOUCH = 0x1c;
    GAT = 0x1d;
    GATQ = 0x1e, quiet GAT;
    SASL_LIST = 0x20;
    SASL_AUTH = 0x21;
    SASL_STEP = 0x22;
    GATK = 0x23;
    GATKQ = 0x24, quiet GATK;
    RGET = 0x30;
    RSET = 0x31;
    RSETQ = 0x32, quiet RSET;
    RAPPEND = 0x33;
    RAPPENDQ = 0x34, quiet RAPPEND;
    RPREPEND = 0x35;
    RPREPENDQ = 0x36, quiet RPREPEND;
    RDELETE = 0x37;
    RDELETEQ = 0x38, quiet RDELETE;
    RINCR = 0x39;
    RINCRQ = 0x3a, quiet RINCR;
    RDECR = 0x3b;
    RDECRQ = 0x3c, quiet RDECR;
    SET_VBUCKET = 0x3d;
    GET_VBUCKET = 0x3e;
    DEL_VBUCKET = 0x3f;
    TAP_CONNECT = 0x40;
    TAP_MUTATION = 0x41;
    TAP_DELETE = 0x42;
    TAP_FLUSH = 0x43;
    TAP_OPAQUE = 0x44;
    TAP_VBUCKET_SET = 0x45;
    TAP_CHECKPOINT_START = 0x46;
    TAP_CHECKPOINT_END = 0x47;
}

impl Opcode {
    /// Whether this is a quiet command, which suppresses the common response: a miss for reads, a success for
    /// all other commands. Errors are always sent.
    pub fn is_quiet(self) -> bool {
        self.non_quiet() != self
    }

    /// Whether a successful response carries the key.
    pub fn returns_key(self) -> bool {
        matches!(self.non_quiet(), Opcode::GETK | Opcode::GATK)
    }
}
