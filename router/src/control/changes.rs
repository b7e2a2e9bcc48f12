//! From a change command to its answer, through the log.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::ids::Operator;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Publisher;
use snipeyoke_lib::log::Topic;
use snipeyoke_lib::query::ChangeAnswer;
use snipeyoke_lib::query::ChangeCommand;
use snipeyoke_lib::query::Facts;
use snipeyoke_lib::query::config_diff;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;

use super::facts::NodeFacts;
use super::waiters::Waiter;
use crate::node::Node;

/// How long an operator waits for the log.
///
/// Longer than an append and its read take in a region far away, shorter than
/// the tool's own limit, so that the answer says what is known.
const LOG_TIME: Duration = Duration::from_secs(3);

/// What is known of the append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Append {
    NotDone,
    Unanswered,
    Done,
}

/// Carries out a change command, or only plans it.
pub(crate) async fn change(
    node: &Node,
    log: &dyn LogStore,
    operator: Operator,
    id: RecordId,
    command: &ChangeCommand,
) -> ChangeAnswer {
    let in_force = node.board.config.get();
    let base = command.base.unwrap_or(in_force.revision);
    // The words are checked on the configuration that the operator saw.
    let seen = match NodeFacts(node).config(Some(base)) {
        Ok(seen) => seen.config,
        Err(error) => return invalid(&error),
    };
    let change = match command.edit.resolve(&seen) {
        Ok(change) => change,
        Err(error) => return invalid(&error),
    };
    if command.dry_run {
        let diff = change.apply(&seen).map(|next| config_diff(&seen, &next));
        return match diff {
            Ok(diff) => ChangeAnswer::Planned { base, diff },
            Err(error) => invalid(&error),
        };
    }
    let record = Record {
        id,
        author: Author::Operator(operator),
        body: Body::ConfigChange { base, change },
    };
    append(node, log, &record, base).await
}

fn invalid(error: &impl ToString) -> ChangeAnswer {
    let why = error.to_string();
    ChangeAnswer::Invalid { why }
}

async fn append(node: &Node, log: &dyn LogStore, record: &Record, base: Revision) -> ChangeAnswer {
    let waiter = node.control.waiters.wait(record.id);
    let mut state = Append::NotDone;
    let timeout = async {
        Timer::after(LOG_TIME).await;
        None
    };
    let applied = async { Some(publish(node, log, record, &waiter, &mut state).await) };
    match applied.or(timeout).await {
        Some(applied) => answer(&applied, base),
        None => overdue(state),
    }
}

async fn publish(
    node: &Node,
    log: &dyn LogStore,
    record: &Record,
    waiter: &Waiter<'_>,
    state: &mut Append,
) -> Applied {
    let mut publisher = Publisher::new(Topic::config(), record.id.0.as_u64_pair().1);
    publisher.submit(record);
    while *state != Append::Done {
        let now = node.clock.now();
        let Some(append) = publisher.poll(now) else {
            Timer::after(publisher.wake().since(now)).await;
            continue;
        };
        // Until an answer comes the append may have happened; if this future
        // is dropped meanwhile, that is what is known.
        let before = std::mem::replace(state, Append::Unanswered);
        let end = log.append(append).await;
        *state = match &end {
            AppendEnd::Done { .. } => Append::Done,
            AppendEnd::NotDone { .. } => before,
            AppendEnd::Unanswered => Append::Unanswered,
        };
        publisher.answered(node.clock.now(), &end);
    }
    waiter.applied().await
}

fn answer(applied: &Applied, base: Revision) -> ChangeAnswer {
    match applied {
        Applied::Accepted { revision } | Applied::Repeat { revision } => ChangeAnswer::Accepted {
            revision: *revision,
            base,
        },
        Applied::Lost { revision, winner } => {
            let by = |w: &snipeyoke_lib::config::Winner| format!("{} ({})", w.change, w.author);
            ChangeAnswer::Lost {
                base,
                revision: *revision,
                winner: winner
                    .as_deref()
                    .map_or_else(|| "changes no longer remembered".to_owned(), by),
            }
        }
        Applied::Invalid(error) => invalid(error),
        other => {
            let why = format!("the log read back {other:?}; ask 'show changes' for what stands");
            ChangeAnswer::Unknown { why }
        }
    }
}

fn overdue(state: Append) -> ChangeAnswer {
    match state {
        Append::NotDone => ChangeAnswer::NotDone {
            why: "the log service takes no appends; what is in force stays so, try again later"
                .to_owned(),
        },
        Append::Unanswered => ChangeAnswer::Unknown {
            why: "the log service did not answer the append; ask 'show changes' once it does"
                .to_owned(),
        },
        Append::Done => ChangeAnswer::Unknown {
            why: "the log took the change, but this router has not read it back; ask again"
                .to_owned(),
        },
    }
}
