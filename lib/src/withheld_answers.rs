//! Answers that an agent withholds while its target has another run of the same task.
//!
//! An entry that is told that its run is over, or was not started, starts the task elsewhere.
//! Invariant: it is told so only once the target has no run of the task, whoever owns that.

use std::collections::BTreeMap;

use crate::ids::Incarnation;
use crate::run::{RunKey, TaskKey};
use crate::run_message::AgentNews;

/// The withheld answers, at most one for each entry and run.
#[derive(Debug, Default)]
pub struct WithheldAnswers {
    answers: BTreeMap<(RunKey, Incarnation), AgentNews>,
}

impl WithheldAnswers {
    /// Withholds an entry's answer about a run, unless one is withheld already. Returns whether it is
    /// the first.
    pub fn add(&mut self, entry: Incarnation, key: RunKey, answer: AgentNews) -> bool {
        let is_first = !self.answers.contains_key(&(key, entry));
        self.answers.entry((key, entry)).or_insert(answer);
        is_first
    }

    /// Takes the answers about tasks of which no run is left.
    pub fn take_due(
        &mut self,
        has_task: impl Fn(TaskKey) -> bool,
    ) -> Vec<(Incarnation, RunKey, AgentNews)> {
        let due = self
            .answers
            .extract_if(.., |(key, _), _| !has_task(key.task));
        due.map(|((key, entry), answer)| (entry, key, answer))
            .collect()
    }
}
