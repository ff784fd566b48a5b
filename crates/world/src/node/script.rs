//! Scripted answers of a node or the origin, for tests that need one particular exchange.

use super::Answer;
use crate::Micros;
use std::collections::VecDeque;

/// The response to one request: an answer after a delay, or none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub answer: Option<Answer>,
    pub after: Micros,
}

impl Step {
    pub fn answer(answer: Answer) -> Self {
        Step { answer: Some(answer), after: 0 }
    }

    pub fn silence() -> Self {
        Step { answer: None, after: 0 }
    }

    pub fn after(self, after: Micros) -> Self {
        Step { after, ..self }
    }
}

/// The steps for the first requests, in order, and the step for all later ones.
///
/// ```
/// use world::node::{Answer, Script, Step};
/// // The first read misses, the second is answered after 300 ms, the third never; then all is well.
/// let script = Script::new([
///     Step::answer(Answer::Miss { pending: false }),
///     Step::answer(Answer::Value).after(300_000),
///     Step::silence(),
/// ])
/// .then(Step::answer(Answer::Value));
/// # let _ = script;
/// ```
#[derive(Clone, Debug)]
pub struct Script {
    steps: VecDeque<Step>,
    rest: Step,
}

impl Script {
    /// After these steps every request is answered with a value at once, unless [`Script::then`] changes
    /// that.
    pub fn new(steps: impl IntoIterator<Item = Step>) -> Self {
        Script { steps: steps.into_iter().collect(), rest: Step::answer(Answer::Value) }
    }

    pub fn then(self, rest: Step) -> Self {
        Script { rest, ..self }
    }

    /// The response to the next request.
    pub fn take(&mut self) -> Step {
        self.steps.pop_front().unwrap_or(self.rest)
    }
}
