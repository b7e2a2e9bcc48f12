//! What the callers saw against what really took effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::process::ExitStatus;

use bytes::Bytes;

use super::caller::Operation;
use super::caller::Seen;

/// The counts of a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// Keys issued.
    pub operations: usize,
    /// Tries of all keys.
    pub tries: usize,
    /// Keys that were answered.
    pub completed: usize,
    /// Keys that ended as unknown.
    pub unknown: usize,
    /// Keys of which every try was not run.
    pub not_run: usize,
    /// Keys whose effect took place more than once.
    pub doubled: usize,
    /// Keys that took effect although every try was said not to have run.
    pub denied: usize,
    /// Keys that took effect and about which the caller was told nothing.
    pub lost: usize,
    /// Keys answered with another key's answer, with two, or without an effect.
    pub wrong: usize,
    /// How processes ended that nobody had killed.
    pub ended: Vec<ExitStatus>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
}

impl Verdict {
    /// Compares operations with the effects by key.
    #[must_use]
    pub fn new(
        operations: &[Operation],
        effects: &BTreeMap<String, u64>,
        faults: BTreeMap<&'static str, usize>,
    ) -> Self {
        let mut verdict = Self {
            operations: operations.len(),
            tries: operations.iter().map(|o| o.tries.len()).sum(),
            faults,
            ..Self::default()
        };
        for operation in operations {
            let count = effects.get(&operation.key).copied().unwrap_or_default();
            verdict.judge(operation, count);
        }
        verdict
    }

    /// Tells whether every promise was kept.
    #[must_use]
    pub const fn is_kept(&self) -> bool {
        self.doubled + self.denied + self.lost + self.wrong + self.ended.len() == 0
    }

    fn judge(&mut self, operation: &Operation, effects: u64) {
        let answers: BTreeSet<&Bytes> = operation.tries.iter().filter_map(answer).collect();
        let refused = operation.tries.iter().all(|t| *t == Seen::NotRun);
        let told = operation.tries.iter().any(|t| *t != Seen::Nothing);
        let unknown = operation.tries.contains(&Seen::Unknown);
        let own = |body: &&Bytes| String::from_utf8_lossy(body).contains(&operation.key);
        let sound = answers.len() <= 1 && answers.iter().all(own);
        self.doubled += usize::from(effects > 1);
        self.denied += usize::from(effects > 0 && refused);
        self.lost += usize::from(effects > 0 && !told);
        self.wrong += usize::from(!sound || (!answers.is_empty() && effects == 0));
        if !answers.is_empty() {
            self.completed += 1;
        } else if refused {
            self.not_run += 1;
        } else if unknown {
            self.unknown += 1;
        }
    }
}

const fn answer(seen: &Seen) -> Option<&Bytes> {
    match seen {
        Seen::Completed(body) => Some(body),
        _ => None,
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} keys in {} tries: {} completed, {} unknown, {} not run, {} without any word",
            self.operations,
            self.tries,
            self.completed,
            self.unknown,
            self.not_run,
            self.operations - self.completed - self.unknown - self.not_run,
        )?;
        let faults = self.faults.iter().map(|(kind, n)| format!("{n} {kind}"));
        writeln!(f, "faults: {}", faults.collect::<Vec<_>>().join(", "))?;
        write!(
            f,
            "doubled effects {}, not-run that ran {}, effects without a word {}, wrong answers {}",
            self.doubled, self.denied, self.lost, self.wrong,
        )?;
        let ended = self.ended.iter().map(ExitStatus::to_string);
        match ended.reduce(|all, one| format!("{all}, {one}")) {
            Some(ended) => write!(f, "\nprocesses that ended by themselves: {ended}"),
            None => Ok(()),
        }
    }
}
