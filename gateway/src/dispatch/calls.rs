//! Calls to endpoints of stage services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::serving::batching::BatchCall;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::kept_connections::CallKind;
use snipeyoke_lib::serving::kept_connections::HandleCheck;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;

use crate::call::Call;
use crate::call::CallError;
use crate::dialect::Verdict;
use crate::kept_connections::Pooling;
use crate::kept_connections::report_foreign;
use crate::kept_connections::send_pooled;
use crate::shared::Shared;

/// The largest response to a batch call for each of its items, in bytes.
///
/// A result takes less than a hundred.
const ITEM_RESPONSE_BYTES_MAX: usize = 4 << 10;

/// The largest response to a release, in bytes.
const RELEASE_BYTES_MAX: usize = 64 << 10;

/// The time-out of a call that releases results.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time on top of a call's own limit, for transit in both directions.
const TRANSIT_MARGIN: Duration = Duration::from_millis(200);

/// Sends a batch to an endpoint and returns the result.
pub(super) async fn run_batch(shared: Arc<Shared>, batch: BatchCall) -> CallResult {
    let request = shared.dialect.batch_request(&batch.entry.id, &batch.items);
    let response = async {
        let sent = Flag::default();
        let sent_at = shared.now();
        match send_pooled(
            &shared,
            (&batch.entry, Pooling::Reuse(CallKind::Batch)),
            request,
            (&sent, &|| {
                shared.directory().accepts_calls(shared.now(), &batch.entry)
            }),
        )
        .await
        {
            Err(error) if error.is_withheld() => CallResult::Refused,
            Ok(call) => read_response(&shared, &batch, call, sent_at).await,
            Err(error) => {
                if !error.is_not_sent() {
                    report_break(&shared, &batch, sent_at);
                }
                if error.is_stale() {
                    return CallResult::Refused;
                }
                log_broken(&batch.entry, &error)
            }
        }
    };
    let timeout = async {
        Timer::after(batch.timeout + TRANSIT_MARGIN).await;
        log::warn!(event = "pieces-silent", endpoint = batch.entry.id.to_string().as_str(), pieces = batch.items.len(); "");
        CallResult::Broken
    };
    response.or(timeout).await
}

fn log_broken(entry: &Entry, error: &CallError) -> CallResult {
    log::warn!(event = "pieces-failed", endpoint = entry.id.to_string().as_str(), error = error.to_string().as_str(); "");
    CallResult::Broken
}

/// Reports that the connection of a call broke before the whole response.
fn report_break(shared: &Shared, batch: &BatchCall, sent_at: Time) {
    let incarnation = Incarnation {
        endpoint: batch.entry.id.clone(),
        started_at: batch.entry.started_at,
    };
    let requests = batch.items.iter().filter_map(|i| i.fingerprint);
    for request in requests.collect::<BTreeSet<_>>() {
        let dispatcher = &shared.dispatcher;
        // Endpoints of stages do not read prompts.
        let request = Casualty {
            request,
            parts: Arc::default(),
            sent: sent_at,
            answered: Duration::ZERO,
        };
        dispatcher.connection_broke(incarnation.clone(), batch.entry.address, request);
    }
}

async fn read_response(
    shared: &Shared,
    batch: &BatchCall,
    mut call: Call,
    sent_at: Time,
) -> CallResult {
    let response = shared.dialect.parse_response(&call.head);
    shared.report_unread(&batch.entry.id, &response.unread);
    let rate = response.rate_evidence();
    shared.on_response(&batch.entry, sent_at, &response, rate);
    match response.verdict {
        Verdict::WrongEndpoint => return CallResult::WrongEndpoint,
        Verdict::NotRun => return CallResult::Refused,
        Verdict::Ran => {}
    }
    let bytes_max = (batch.items.len() + 1) * ITEM_RESPONSE_BYTES_MAX;
    let mut body = Vec::new();
    loop {
        match call.next().await {
            Ok(Some(bytes)) if body.len() + bytes.len() <= bytes_max => {
                body.extend_from_slice(&bytes);
            }
            Ok(None) => break,
            Ok(Some(_)) => return CallResult::Broken,
            Err(_) => {
                report_break(shared, batch, sent_at);
                return CallResult::Broken;
            }
        }
    }
    if !call.head.status.is_success() {
        return CallResult::Broken;
    }
    let Some(outcomes) = shared.dialect.parse_outcomes(&body) else {
        log::warn!(event = "pieces-unreadable", endpoint = batch.entry.id.to_string().as_str(); "");
        return CallResult::Broken;
    };
    let handles = outcomes.iter().filter_map(|outcome| match outcome {
        ItemOutcome::Produced(handle) => Some(handle.as_str()),
        _ => None,
    });
    let check = call.given_handles().check(handles);
    let is_other_size = outcomes.len() != batch.items.len();
    if call.is_reused() && (check == HandleCheck::Foreign || is_other_size) {
        report_foreign(&batch.entry, "batch");
        return CallResult::Broken;
    }
    if check == HandleCheck::Own && !is_other_size {
        shared.keep_connection(call, &batch.entry, response.keep_alive);
    }
    CallResult::Answered(outcomes)
}

/// Releases results at an endpoint.
///
/// There is no retry: a result that is not released expires by itself.
pub(super) async fn release_results(shared: Arc<Shared>, entry: Entry, handles: &[String]) {
    let request = shared.dialect.release_request(handles);
    let sent_at = shared.now();
    let released = async {
        let Ok(mut call) = send_pooled(
            &shared,
            (&entry, Pooling::Reuse(CallKind::Release)),
            request,
            (&Flag::default(), &|| {
                shared.directory().accepts_calls(shared.now(), &entry)
            }),
        )
        .await
        else {
            return false;
        };
        let response = shared.dialect.parse_response(&call.head);
        // A release may be answered without a rate whatever the endpoint accepts.
        let rate = response.rate_evidence();
        let rate = rate.filter(|&rate| rate != RateNotice::Unlimited);
        shared.on_response(&entry, sent_at, &response, rate);
        let mut read = 0;
        while let Ok(Some(bytes)) = call.next().await {
            read += bytes.len();
            if read > RELEASE_BYTES_MAX {
                return false;
            }
        }
        let is_success = call.head.status.is_success();
        if response.verdict == Verdict::Ran {
            shared.keep_connection(call, &entry, response.keep_alive);
        }
        is_success
    };
    let timeout = async {
        Timer::after(RELEASE_TIMEOUT).await;
        false
    };
    if !released.or(timeout).await {
        log::info!(event = "give-back-failed", endpoint = entry.id.to_string().as_str(), results = handles.len(); "");
    }
}
