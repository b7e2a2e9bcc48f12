//! Calls to endpoints of stage services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::serving::batching::BatchCall;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_runtime::flag::Flag;

use crate::call::Call;
use crate::call::CallError;
use crate::call::send_request;
use crate::dialect::Verdict;
use crate::shared::Shared;

/// The largest answer to a call for pieces, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// The longest time to give results back.
const GIVE_BACK_LIMIT: Duration = Duration::from_secs(1);

/// The time on top of a call's own limit, for the way there and back.
const WAY: Duration = Duration::from_millis(200);

/// Makes a call for pieces.
pub(super) async fn run_pieces(shared: Arc<Shared>, send: BatchCall) -> CallResult {
    let request = shared.dialect.batch_request(&send.entry.id, &send.items);
    let answered = async {
        let handed = Flag::default();
        match send_request(&shared.traffic, send.entry.address, request, &handed).await {
            Ok(call) => read(&shared, &send, call).await,
            Err(error) => {
                if !error.is_not_sent() {
                    note_break(&shared, &send);
                }
                broken(&send.entry, &error)
            }
        }
    };
    let over = async {
        Timer::after(send.timeout + WAY).await;
        log::warn!(event = "pieces-silent", endpoint = send.entry.id.to_string().as_str(), pieces = send.items.len(); "");
        CallResult::Broken
    };
    answered.or(over).await
}

fn broken(entry: &Entry, error: &CallError) -> CallResult {
    log::warn!(event = "pieces-failed", endpoint = entry.id.to_string().as_str(), error = error.to_string().as_str(); "");
    CallResult::Broken
}

/// Notes that the connection of a call broke before its whole answer.
fn note_break(shared: &Shared, send: &BatchCall) {
    let run = Incarnation {
        endpoint: send.entry.id.clone(),
        started_at: send.entry.started_at,
    };
    let requests = send.items.iter().filter_map(|i| i.fingerprint);
    for request in requests.collect::<BTreeSet<_>>() {
        let dispatcher = &shared.dispatcher;
        dispatcher.connection_broke(run.clone(), send.entry.address, request);
    }
}

async fn read(shared: &Shared, send: &BatchCall, mut call: Call) -> CallResult {
    let answer = shared.dialect.parse_response(&call.head);
    match answer.verdict {
        Verdict::WrongEndpoint => return CallResult::WrongEndpoint,
        Verdict::NotRun => return CallResult::Refused,
        Verdict::Ran => {}
    }
    let mut body = Vec::new();
    loop {
        match call.next().await {
            Ok(Some(bytes)) if body.len() + bytes.len() <= ANSWER_MAX => {
                body.extend_from_slice(&bytes);
            }
            Ok(None) => break,
            Ok(Some(_)) => return CallResult::Broken,
            Err(_) => {
                note_break(shared, send);
                return CallResult::Broken;
            }
        }
    }
    if !call.head.status.is_success() {
        return CallResult::Broken;
    }
    let outcomes = shared.dialect.parse_outcomes(&body);
    outcomes.map_or_else(
        || {
            log::warn!(event = "pieces-unreadable", endpoint = send.entry.id.to_string().as_str(); "");
            CallResult::Broken
        },
        CallResult::Answered,
    )
}

/// Tells an endpoint that results are not needed any more.
///
/// It is told once: a result that is not dropped lapses by itself.
pub(super) async fn give_back(shared: Arc<Shared>, entry: Entry, handles: &[String]) {
    let request = shared.dialect.release_request(handles);
    let told = async {
        let Ok(mut call) =
            send_request(&shared.traffic, entry.address, request, &Flag::default()).await
        else {
            return false;
        };
        while let Ok(Some(_)) = call.next().await {}
        call.head.status.is_success()
    };
    let over = async {
        Timer::after(GIVE_BACK_LIMIT).await;
        false
    };
    if !told.or(over).await {
        log::info!(event = "give-back-failed", endpoint = entry.id.to_string().as_str(), results = handles.len(); "");
    }
}
