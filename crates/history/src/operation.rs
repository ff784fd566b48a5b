//! Client operations as data, and whether a history of them is well-formed.
//!
//! Defines the format in which hosts record histories, and the conditions that a history must meet for a
//! checker to read it. The model is that of Herlihy and Wing (ACM TOPLAS 12 (1990)): an operation consists of
//! its invocation and its return, and a client has one operation at a time. An operation of unknown outcome
//! may take effect at any time after its invocation, or never.
//!
//! Limits: [`MAX_ITEMS`] operations per history, [`MAX_BYTES`] bytes per key or value.

use crate::{Fate, Micros, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a key or value in bytes; record a digest of anything longer.
pub const MAX_BYTES: usize = 4096;

/// A client, which has one operation at a time. A client that continues without an answer to its last
/// operation needs a new id, unless that operation has returned with [`Outcome::Unknown`] (the client stopped
/// waiting).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Client(pub u32);

/// The kind of operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Reads a register.
    Read,
    /// Sets a register, whatever its value.
    Write {
        /// The new value.
        value: String,
    },
    /// Removes the value of a register.
    Delete,
    /// Sets a register only if it has no value (a receipt).
    Insert {
        /// The value to set if there is none.
        value: String,
    },
    /// Adds to a counter.
    Add {
        /// The amount; may be negative.
        amount: i64,
    },
    /// Reads a counter.
    Total,
}

/// The outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A write, deletion, insertion or addition took effect.
    Done,
    /// A read returned this value.
    Value(String),
    /// A read found no value.
    Absent,
    /// An insertion found a value and changed nothing; contains the value if it was returned.
    Found(Option<String>),
    /// The value of a counter.
    Total(i64),
    /// It did not take effect and never will.
    Refused,
    /// No response was received.
    Unknown,
}

/// One operation of one client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The client that invoked it.
    pub client: Client,
    /// The register or counter.
    pub key: String,
    /// The kind of operation.
    pub kind: Kind,
    /// Time of the invocation.
    pub invoked_us: Micros,
    /// Time of the return, or when the client stopped waiting; `None` if it never did.
    pub returned_us: Option<Micros>,
    /// The outcome known to the client.
    pub outcome: Outcome,
}

impl Operation {
    /// Creates an operation that has not returned.
    pub fn invoked(client: Client, key: impl Into<String>, kind: Kind, at: Micros) -> Self {
        let key = key.into();
        Operation { client, key, kind, invoked_us: at, returned_us: None, outcome: Outcome::Unknown }
    }

    /// Records the return of the operation.
    pub fn returned(self, at: Micros, outcome: Outcome) -> Self {
        Operation { returned_us: Some(at), outcome, ..self }
    }

    /// What is known about whether it took effect.
    pub fn fate(&self) -> Fate {
        match self.outcome {
            Outcome::Refused => Fate::Refused,
            Outcome::Unknown => Fate::Unknown,
            _ => Fate::Acknowledged,
        }
    }

    fn is_counter_operation(&self) -> bool {
        matches!(self.kind, Kind::Add { .. } | Kind::Total)
    }

    /// Checks this operation by itself.
    fn check(&self) -> Result<(), Malformed> {
        let value_len = match (&self.kind, &self.outcome) {
            (_, Outcome::Value(value) | Outcome::Found(Some(value))) => value.len(),
            (Kind::Write { value } | Kind::Insert { value }, _) => value.len(),
            _ => 0,
        };
        let requested_len = match &self.kind {
            Kind::Write { value } | Kind::Insert { value } => value.len(),
            _ => 0,
        };
        if self.key.len().max(value_len).max(requested_len) > MAX_BYTES {
            return Err(Malformed::TooLong { client: self.client, invoked_us: self.invoked_us });
        }
        let outcome_matches = matches!(
            (&self.kind, &self.outcome),
            (_, Outcome::Unknown | Outcome::Refused)
                | (Kind::Read, Outcome::Value(_) | Outcome::Absent)
                | (Kind::Write { .. } | Kind::Delete | Kind::Add { .. }, Outcome::Done)
                | (Kind::Insert { .. }, Outcome::Done | Outcome::Found(_))
                | (Kind::Total, Outcome::Total(_))
        );
        if !outcome_matches {
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

/// Why a list of operations is not a well-formed history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // the field names are uniform and self-explanatory
pub enum Malformed {
    /// The history is full.
    #[error("a history has {MAX_ITEMS} operations at most")]
    Full,
    /// A key or a value is too long.
    #[error("client {}'s operation of {invoked_us} us has a key or value longer than {MAX_BYTES} bytes", client.0)]
    TooLong { client: Client, invoked_us: Micros },
    /// The outcome does not match the kind of operation.
    #[error("client {}'s operation of {invoked_us} us has an outcome that does not match its kind", client.0)]
    Unfit { client: Client, invoked_us: Micros },
    /// It returned before it was invoked.
    #[error("client {}'s operation of {invoked_us} us returned before it was invoked", client.0)]
    ReturnsBefore { client: Client, invoked_us: Micros },
    /// Its outcome is known although it never returned.
    #[error("client {}'s operation of {invoked_us} us has an outcome but never returned", client.0)]
    NeverReturned { client: Client, invoked_us: Micros },
    /// A client has two operations at the same time.
    #[error("client {} invoked an operation at {invoked_us} us while another one was pending", client.0)]
    TwoAtOnce { client: Client, invoked_us: Micros },
    /// A return without an invocation, or a second return.
    #[error("client {} returned at {at_us} us without a pending operation", client.0)]
    NothingOut { client: Client, at_us: Micros },
    /// A key is used for a register and for a counter.
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
    /// Adds an operation. Fails if there are [`MAX_ITEMS`] already.
    pub fn push(&mut self, operation: Operation) -> Result<(), Malformed> {
        if self.operations.len() >= MAX_ITEMS {
            return Err(Malformed::Full);
        }
        self.operations.push(operation);
        Ok(())
    }

    /// All operations, in the order in which they were added.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Checks that the history is well-formed: each operation returns at most once, after its invocation and
    /// with an outcome of its kind; a client has one operation at a time; a key is either a register or a
    /// counter. A client may invoke an operation in the same microsecond in which its last one returned.
    pub fn check(&self) -> Result<(), Malformed> {
        let mut keys: BTreeMap<&str, bool> = BTreeMap::new();
        let mut by_client: Vec<&Operation> = self.operations.iter().collect();
        for operation in &self.operations {
            operation.check()?;
            if *keys.entry(&operation.key).or_insert(operation.is_counter_operation())
                != operation.is_counter_operation()
            {
                return Err(Malformed::TwoUses { key: operation.key.clone() });
            }
        }
        // An operation that returned immediately precedes a longer one invoked in the same microsecond.
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

/// Builds a history from invocations and returns reported in chronological order.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    pending: BTreeMap<Client, Operation>,
    history: History,
}

impl Recorder {
    /// Records an invocation. Fails if the client has a pending operation, or if the history is full.
    pub fn invoke(
        &mut self,
        at: Micros,
        client: Client,
        key: impl Into<String>,
        kind: Kind,
    ) -> Result<(), Malformed> {
        if self.pending.contains_key(&client) {
            return Err(Malformed::TwoAtOnce { client, invoked_us: at });
        }
        if self.pending.len() + self.history.operations.len() >= MAX_ITEMS {
            return Err(Malformed::Full);
        }
        self.pending.insert(client, Operation::invoked(client, key, kind, at));
        Ok(())
    }

    /// Records a return, or that the client stopped waiting. Fails if it has no pending operation, or if the
    /// outcome does not match.
    pub fn returned(
        &mut self,
        at: Micros,
        client: Client,
        outcome: Outcome,
    ) -> Result<&Operation, Malformed> {
        let Some(operation) = self.pending.remove(&client) else {
            return Err(Malformed::NothingOut { client, at_us: at });
        };
        let operation = operation.returned(at, outcome);
        operation.check()?;
        self.history.operations.push(operation);
        let last = self.history.operations.len() - 1;
        Ok(&self.history.operations[last])
    }

    /// Returns the history; operations still pending are recorded as never returned.
    pub fn finish(mut self) -> History {
        self.history.operations.extend(self.pending.into_values());
        self.history
    }
}
