//! Client operations as data, and whether a history of them is well-formed.
//!
//! It owns the words that hosts write histories in and what a history must be for any judge to read it. It judges
//! nothing else. The model is Herlihy and Wing's (ACM TOPLAS 12 (1990)): an operation is its invocation and its return,
//! a client has one at a time. An operation whose outcome nobody was told may take effect at any time after its
//! invocation, or never.
//!
//! Bounds: [`MAX_ITEMS`] operations a history, [`MAX_BYTES`] a key or a value.

use crate::{Fate, Micros, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest key or value, in bytes; of what is longer, write down a digest.
pub const MAX_BYTES: usize = 4096;

/// Who asks, one operation at a time. A client that starts anew without an answer to its last is another one, unless
/// that last has a return of outcome [`Outcome::Unknown`] (it waited no longer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Client(pub u32);

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The value of a register.
    Read,
    /// A register's new value, whatever it was.
    Write {
        /// The new value.
        value: String,
    },
    /// A register is to have no value.
    Delete,
    /// A register's value if it has none; else what is there stays (a receipt).
    Insert {
        /// The value, if there was none.
        value: String,
    },
    /// A counter is to move.
    Add {
        /// By so much; may be negative.
        amount: i64,
    },
    /// Where a counter stands.
    Total,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A write, a deletion, an insertion or an addition took place.
    Done,
    /// A read found this.
    Value(String),
    /// A read found no value.
    Absent,
    /// An insertion found a value and changed nothing; the value, if it was told.
    Found(Option<String>),
    /// A counter stood there.
    Total(i64),
    /// It surely did not happen and never will.
    Refused,
    /// Nobody was told.
    Unknown,
}

/// One operation of one client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Who asked.
    pub client: Client,
    /// Of which register or counter.
    pub key: String,
    /// What was asked for.
    pub kind: Kind,
    /// When it was asked.
    pub invoked_us: Micros,
    /// When the client stopped waiting; none if it never did.
    pub returned_us: Option<Micros>,
    /// What it was told.
    pub outcome: Outcome,
}

impl Operation {
    /// An operation that has not returned.
    pub fn invoked(client: Client, key: impl Into<String>, kind: Kind, at: Micros) -> Self {
        let key = key.into();
        Operation { client, key, kind, invoked_us: at, returned_us: None, outcome: Outcome::Unknown }
    }

    /// The same, returned.
    pub fn returned(self, at: Micros, outcome: Outcome) -> Self {
        Operation { returned_us: Some(at), outcome, ..self }
    }

    /// What is known of whether it happened.
    pub fn fate(&self) -> Fate {
        match self.outcome {
            Outcome::Refused => Fate::Refused,
            Outcome::Unknown => Fate::Unknown,
            _ => Fate::Acknowledged,
        }
    }

    fn counts(&self) -> bool {
        matches!(self.kind, Kind::Add { .. } | Kind::Total)
    }

    /// What is wrong with it alone.
    fn check(&self) -> Result<(), Malformed> {
        let value = match (&self.kind, &self.outcome) {
            (_, Outcome::Value(value) | Outcome::Found(Some(value))) => value.len(),
            (Kind::Write { value } | Kind::Insert { value }, _) => value.len(),
            _ => 0,
        };
        let asked = match &self.kind {
            Kind::Write { value } | Kind::Insert { value } => value.len(),
            _ => 0,
        };
        if self.key.len().max(value).max(asked) > MAX_BYTES {
            return Err(Malformed::TooLong { client: self.client, invoked_us: self.invoked_us });
        }
        let fits = matches!(
            (&self.kind, &self.outcome),
            (_, Outcome::Unknown | Outcome::Refused)
                | (Kind::Read, Outcome::Value(_) | Outcome::Absent)
                | (Kind::Write { .. } | Kind::Delete | Kind::Add { .. }, Outcome::Done)
                | (Kind::Insert { .. }, Outcome::Done | Outcome::Found(_))
                | (Kind::Total, Outcome::Total(_))
        );
        if !fits {
            return Err(Malformed::Unfit { client: self.client, invoked_us: self.invoked_us });
        }
        match self.returned_us {
            Some(at) if at < self.invoked_us => {
                Err(Malformed::ReturnsBefore { client: self.client, invoked_us: self.invoked_us })
            }
            None if self.outcome != Outcome::Unknown => {
                Err(Malformed::NeverReturned { client: self.client, invoked_us: self.invoked_us })
            }
            _ => Ok(()),
        }
    }
}

/// UndecidedReason a list of operations is no history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // the fields are named alike all through, and for what they are
pub enum Malformed {
    /// No room.
    #[error("a history has {MAX_ITEMS} operations at most")]
    Full,
    /// A key or a value is too long.
    #[error("client {}'s operation of {invoked_us} us has a key or value longer than {MAX_BYTES} bytes", client.0)]
    TooLong { client: Client, invoked_us: Micros },
    /// No operation of this kind ends so.
    #[error("client {}'s operation of {invoked_us} us has an outcome of another kind", client.0)]
    Unfit { client: Client, invoked_us: Micros },
    /// It returned before it was invoked.
    #[error("client {}'s operation of {invoked_us} us returned before it was invoked", client.0)]
    ReturnsBefore { client: Client, invoked_us: Micros },
    /// Its outcome is known, though it never returned.
    #[error("client {}'s operation of {invoked_us} us has an outcome but never returned", client.0)]
    NeverReturned { client: Client, invoked_us: Micros },
    /// A client has two operations at a time.
    #[error("client {} asked at {invoked_us} us while another operation of its was out", client.0)]
    TwoAtOnce { client: Client, invoked_us: Micros },
    /// A return without an invocation, or a second return.
    #[error("client {} returned at {at_us} us from nothing", client.0)]
    NothingOut { client: Client, at_us: Micros },
    /// A key is a register's and a counter's.
    #[error("key {key} is used as a register and as a counter")]
    TwoUses { key: String },
}

/// A bounded list of operations, in any order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Operation>", into = "Vec<Operation>")]
pub struct History {
    operations: Vec<Operation>,
}

impl TryFrom<Vec<Operation>> for History {
    type Error = Malformed;

    fn try_from(operations: Vec<Operation>) -> Result<Self, Malformed> {
        if operations.len() > MAX_ITEMS {
            return Err(Malformed::Full);
        }
        Ok(History { operations })
    }
}

impl From<History> for Vec<Operation> {
    fn from(history: History) -> Self {
        history.operations
    }
}

impl History {
    /// One more. Fails when there are [`MAX_ITEMS`].
    pub fn push(&mut self, operation: Operation) -> Result<(), Malformed> {
        if self.operations.len() >= MAX_ITEMS {
            return Err(Malformed::Full);
        }
        self.operations.push(operation);
        Ok(())
    }

    /// All, in the order in which they came.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Whether it is well-formed: each operation returns once, after its invocation and with an outcome of its kind; a
    /// client has one at a time; a key is a register's or a counter's. A client may ask in the microsecond in which its
    /// last operation returned.
    pub fn check(&self) -> Result<(), Malformed> {
        let mut keys: BTreeMap<&str, bool> = BTreeMap::new();
        let mut by_client: Vec<&Operation> = self.operations.iter().collect();
        for operation in &self.operations {
            operation.check()?;
            if *keys.entry(&operation.key).or_insert(operation.counts()) != operation.counts() {
                return Err(Malformed::TwoUses { key: operation.key.clone() });
            }
        }
        // What returned in no time comes before what was asked in the same microsecond and took longer.
        by_client.sort_by_key(|o| (o.client, o.invoked_us, o.returned_us.unwrap_or(Micros::MAX)));
        for two in by_client.windows(2) {
            let (first, next) = (two[0], two[1]);
            if first.client == next.client && first.returned_us.is_none_or(|at| at > next.invoked_us) {
                return Err(Malformed::TwoAtOnce { client: next.client, invoked_us: next.invoked_us });
            }
        }
        Ok(())
    }
}

/// Makes a history of invocations and returns as they are seen, told in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    out: BTreeMap<Client, Operation>,
    history: History,
}

impl Recorder {
    /// A client asks. Fails while an operation of its is out, or when the history is full.
    pub fn invoke(
        &mut self,
        at: Micros,
        client: Client,
        key: impl Into<String>,
        kind: Kind,
    ) -> Result<(), Malformed> {
        if self.out.contains_key(&client) {
            return Err(Malformed::TwoAtOnce { client, invoked_us: at });
        }
        if self.out.len() + self.history.operations.len() >= MAX_ITEMS {
            return Err(Malformed::Full);
        }
        self.out.insert(client, Operation::invoked(client, key, kind, at));
        Ok(())
    }

    /// A client is told, or waits no longer. Fails when nothing of its is out, or if the outcome does not fit.
    pub fn returned(
        &mut self,
        at: Micros,
        client: Client,
        outcome: Outcome,
    ) -> Result<&Operation, Malformed> {
        let Some(operation) = self.out.remove(&client) else {
            return Err(Malformed::NothingOut { client, at_us: at });
        };
        let operation = operation.returned(at, outcome);
        operation.check()?;
        self.history.operations.push(operation);
        let last = self.history.operations.len() - 1;
        Ok(&self.history.operations[last])
    }

    /// The history; what is still out never returned.
    pub fn finish(mut self) -> History {
        self.history.operations.extend(self.out.into_values());
        self.history
    }
}
