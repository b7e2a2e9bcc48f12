//! The event history of a request, and a configuration, as rows.

use std::time::Duration;

use super::edit;
use super::facts::ConfigFact;
use super::field::Field;
use super::interval::Interval;
use super::table::Row;
use super::table::Table;
use super::value::Value;
use crate::config::Config;
use crate::journal::Attempt;
use crate::journal::Choice;
use crate::journal::Request;
use crate::outcome::AttemptEnd;
use crate::time::Time;

// The minimum overrun of an attempt that is reported as the cause of lateness.
const NOTABLE_OVERRUN: Duration = Duration::from_millis(1);

fn format_duration(duration: Duration) -> String {
    Interval::from(duration).rounded()
}

/// Lists the events of a request in chronological order.
pub(super) fn request_events(request: &Request, now: Time) -> Table {
    let mut events = vec![accepted_event(request)];
    for attempt in &request.attempts {
        events.push(sent_event(request, attempt));
        events.extend(ended_event(request, attempt));
    }
    events.sort_by_key(|e| e.0);
    if request.unrecorded > 0 {
        let detail = format!("{} more attempts were not recorded", request.unrecorded);
        events.push((now.since(request.at), "omitted", detail));
    }
    events.push(verdict_event(request, now));
    let row = |(at, event, detail): (Duration, &str, String)| {
        Row(vec![at.into(), event.into(), Value::Text(detail)])
    };
    Table {
        columns: vec![Field::Age, Field::Event, Field::Detail],
        rows: events.into_iter().map(row).collect(),
        omitted: 0,
    }
}

type Event = (Duration, &'static str, String);

fn accepted_event(request: &Request) -> Event {
    let accepted = &request.accepted;
    let predicted = accepted.predicted.map_or_else(String::new, |p| {
        format!(", expected to take {}", format_duration(p))
    });
    let detail = format!(
        "{} {} from {} by pipeline {}, deadline {}{predicted}",
        accepted.id,
        accepted.kind,
        accepted.account,
        accepted.pipeline,
        format_duration(accepted.deadline),
    );
    (Duration::ZERO, "came", detail)
}

fn predicted_text(choice: &Choice) -> String {
    let cost = choice
        .cost
        .map_or_else(String::new, |c| format!(" cost {c}"));
    format!("{}{cost}", format_duration(choice.predicted))
}

fn sent_event(request: &Request, attempt: &Attempt) -> Event {
    let decision = &attempt.decision;
    let others: Vec<_> = decision
        .others
        .iter()
        .map(|o| format!("{} {}", o.endpoint, predicted_text(o)))
        .collect();
    let others = if others.is_empty() {
        "no alternative".to_owned()
    } else {
        format!("instead of {}", others.join(", "))
    };
    let hedge = if decision.hedge { ", as a hedge" } else { "" };
    let detail = format!(
        "stage {} attempt {} to {} ({}), predicted {}, {others}{hedge}",
        decision.stage,
        decision.attempt,
        decision.chosen.endpoint,
        decision.why,
        predicted_text(&decision.chosen),
    );
    (attempt.sent.since(request.at), "sent", detail)
}

fn ended_event(request: &Request, attempt: &Attempt) -> Option<Event> {
    let (at, end) = attempt.end.as_ref()?;
    let how = match end {
        AttemptEnd::Completed => "completed".to_owned(),
        AttemptEnd::NotRun { reason, .. } => format!("not run, {reason}"),
        AttemptEnd::Unknown { reason } => format!("unknown, {reason}"),
    };
    let decision = &attempt.decision;
    let detail = format!(
        "stage {} attempt {} {how} after {}, predicted {}",
        decision.stage,
        decision.attempt,
        format_duration(attempt.elapsed(*at)),
        format_duration(decision.chosen.predicted),
    );
    Some((at.since(request.at), "ended", detail))
}

fn verdict_event(request: &Request, now: Time) -> Event {
    let elapsed = request.elapsed(now);
    let state = match request.finish {
        None => "still running".to_owned(),
        Some(finish) => {
            let reason = finish.reason.map_or_else(String::new, |r| format!(", {r}"));
            format!("{}{reason}", finish.outcome)
        }
    };
    let deadline = request.accepted.deadline;
    let timing = if request.is_late(now) {
        let overrun = format_duration(elapsed.saturating_sub(deadline));
        format!("late by {overrun}{}", lateness_cause(request, now))
    } else {
        format!(
            "{} before its deadline",
            format_duration(deadline.saturating_sub(elapsed))
        )
    };
    let event = if request.is_running() {
        "now"
    } else {
        "answered"
    };
    (elapsed, event, format!("{state}, {timing}"))
}

fn lateness_cause(request: &Request, now: Time) -> String {
    let Some(slowest) = request.most_delayed(now) else {
        return "; no stage was reached".to_owned();
    };
    let predicted = slowest.decision.chosen.predicted;
    let actual = slowest.elapsed(request.end_or(now));
    let overrun = actual.saturating_sub(predicted);
    if overrun < NOTABLE_OVERRUN {
        return "; every attempt kept its prediction: the time went between them".to_owned();
    }
    format!(
        "; most of it at stage {} on {}: {} instead of {}",
        slowest.decision.stage,
        slowest.decision.chosen.endpoint,
        format_duration(actual),
        format_duration(predicted),
    )
}

/// Formats a configuration as the statements that create it, one per row.
pub(super) fn config_statements(fact: &ConfigFact) -> Table {
    let lines = statements(&fact.config);
    let row = |line| Row(vec![Value::from_count(fact.revision.0), Value::Text(line)]);
    Table {
        columns: vec![Field::Revision, Field::Detail],
        rows: lines.into_iter().map(row).collect(),
        omitted: 0,
    }
}

/// Formats each item of a configuration as one statement, in a fixed order.
pub(super) fn statements(config: &Config) -> Vec<String> {
    let pools = config.pools.iter().map(|(name, pool)| {
        let path = pool.path.as_ref();
        let path = path.map_or_else(String::new, |p| format!(" path {p}"));
        format!("create pool {name} price {}{path}", pool.price)
    });
    let pipelines = config.pipelines.iter().map(|(name, pipeline)| {
        let stages: Vec<_> = pipeline.stages.iter().map(edit::stage_text).collect();
        format!(
            "create pipeline {name} deadline {} lateness {} cost {} stages ({})",
            Interval::from(pipeline.deadline()),
            pipeline.weights.lateness,
            pipeline.weights.cost,
            stages.join(", "),
        )
    });
    let accounts = config.accounts.iter().map(|(name, account)| {
        let keys: Vec<_> = account.keys.iter().map(ToString::to_string).collect();
        let limits = &account.limits;
        format!(
            "create account {name} keys ({}) requests {} tokens {} concurrency {} share {}",
            keys.join(", "),
            limits.requests,
            limits.tokens,
            limits.concurrency,
            account.share,
        )
    });
    let bindings = config.bindings.iter().flat_map(|(account, kinds)| {
        let bind = move |(kind, pipeline)| format!("bind {account} {kind} to {pipeline}");
        kinds.iter().map(bind)
    });
    let drains = config.drains.iter().map(|target| format!("drain {target}"));
    let evacuations = config.evacuations.iter();
    let evacuations = evacuations.map(|domain| format!("evacuate domain {domain}"));
    pools
        .chain(pipelines)
        .chain(accounts)
        .chain(bindings)
        .chain(drains)
        .chain(evacuations)
        .collect()
}
