//! Executes change commands through the log.

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

/// The longest wait for the log to confirm a change.
///
/// Longer than an append and its read take in a remote region, but shorter than
/// the tool's own time-out, so that the operator gets the known state.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);

/// The known state of the append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Append {
    NotDone,
    Unanswered,
    Done,
}

/// Executes a change command, or only plans it for a dry run.
pub(crate) async fn change(
    node: &Node,
    log: &dyn LogStore,
    operator: Operator,
    id: RecordId,
    command: &ChangeCommand,
) -> ChangeAnswer {
    let in_force = node.board.config.get();
    let base = command.base.unwrap_or(in_force.revision);
    // The edit is validated against the configuration that the operator saw.
    let base_config = match NodeFacts(node).config(Some(base)) {
        Ok(base_config) => base_config.config,
        Err(error) => return invalid(&error),
    };
    let change = match command.edit.resolve(&base_config) {
        Ok(change) => change,
        Err(error) => return invalid(&error),
    };
    if command.dry_run {
        let diff = change
            .apply(&base_config)
            .map(|next| config_diff(&base_config, &next));
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
        Timer::after(LOG_TIMEOUT).await;
        None
    };
    let applied = async { Some(publish(node, log, record, &waiter, &mut state).await) };
    match applied.or(timeout).await {
        Some(applied) => answer(&applied, base),
        None => timeout_answer(state),
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
        // The append may succeed before its response arrives; if the future is
        // dropped meanwhile, the result is unknown.
        let before = std::mem::replace(state, Append::Unanswered);
        let end = log.append(append).await;
        *state = match &end {
            AppendEnd::Done { .. } => Append::Done,
            AppendEnd::NotDone { .. } => before,
            AppendEnd::Unanswered => Append::Unanswered,
        };
        publisher.on_append_end(node.clock.now(), &end);
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
            let describe =
                |w: &snipeyoke_lib::config::Winner| format!("{} ({})", w.change, w.author);
            ChangeAnswer::Lost {
                base,
                revision: *revision,
                winner: winner
                    .as_deref()
                    .map_or_else(|| "changes that are no longer kept".to_owned(), describe),
            }
        }
        Applied::Invalid(error) => invalid(error),
        other => {
            let why =
                format!("the log read back {other:?}; run 'show changes' to see the current state");
            ChangeAnswer::Unknown { why }
        }
    }
}

fn timeout_answer(state: Append) -> ChangeAnswer {
    match state {
        Append::NotDone => ChangeAnswer::NotDone {
            why: "the log service accepts no appends; the configuration is unchanged, retry later"
                .to_owned(),
        },
        Append::Unanswered => ChangeAnswer::Unknown {
            why: "the log service did not confirm the append; run 'show changes' once it responds"
                .to_owned(),
        },
        Append::Done => ChangeAnswer::Unknown {
            why: "the log accepted the change, but this router has not read it back; run 'show changes'"
                .to_owned(),
        },
    }
}
