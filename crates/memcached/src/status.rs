//! Response statuses ("Response Status"). Where the wiki and `protocol_binary.h` differ, as on 0x20 and 0x21
//! for SASL, the values of the header file are used, since servers and clients were built with it.

/// Status of a response. Any number is valid, whether or not the protocol defines it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Status(pub u16);

macro_rules! statuses {
    ($($name:ident = $number:literal $text:literal;)*) => {
        #[allow(missing_docs)]
        impl Status {
            $(pub const $name: Status = Status($number);)*

            /// All defined statuses, in ascending order.
            pub const ALL: &'static [Status] = &[$(Status::$name),*];

            /// The status in the words of the protocol's description; `None` for an undefined one.
            pub fn text(self) -> Option<&'static str> {
                match self.0 {
                    $($number => Some($text),)*
                    _ => None,
                }
            }
        }
    };
}

statuses! {
    OK = 0x00 "No error";
    KEY_NOT_FOUND = 0x01 "Key not found";
    KEY_EXISTS = 0x02 "Key exists";
    TOO_LARGE = 0x03 "Value too large";
    INVALID = 0x04 "Invalid arguments";
    NOT_STORED = 0x05 "Item not stored";
    NON_NUMERIC = 0x06 "Incr/Decr on non-numeric value";
    NOT_MY_VBUCKET = 0x07 "The vbucket belongs to another server";
    AUTH_ERROR = 0x20 "Authentication error";
    AUTH_CONTINUE = 0x21 "Authentication continue";
    UNKNOWN_COMMAND = 0x81 "Unknown command";
    OUT_OF_MEMORY = 0x82 "Out of memory";
    NOT_SUPPORTED = 0x83 "Not supported";
    INTERNAL = 0x84 "Internal error";
    BUSY = 0x85 "Busy";
    TEMPORARY = 0x86 "Temporary failure";
}
