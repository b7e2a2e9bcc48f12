//! Requests under which endpoints end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::ends::Broke;
use snipeyoke_lib::serving::ends::Incarnation;
use snipeyoke_runtime::link;

use super::messages::Message;
use super::run::State;

/// The longest time to connect to an endpoint whose connection broke.
const LOOK_LIMIT: Duration = Duration::from_millis(400);

/// The pause before the second look at an endpoint that accepts connections.
///
/// A process that dies closes its connections in any order with its listener.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

impl State {
    pub(super) fn broke(&mut self, run: Incarnation, address: SocketAddr, request: Fingerprint) {
        let now = self.shared.now();
        match self.ends.broke(now, &run, request) {
            Broke::Look => {
                let look = look(run, address, self.inbox.clone());
                self.scope.spawn(look);
            }
            Broke::Ended => ended_under(&run, request),
            Broke::Waits | Broke::Lives => {}
        }
    }

    pub(super) fn looked(&mut self, run: &Incarnation, ended: bool) {
        let now = self.shared.now();
        let requests = self.ends.looked(now, run, ended);
        if !ended {
            log::info!(event = "endpoint-lives", endpoint = run.to_string().as_str(); "");
        }
        for request in requests {
            ended_under(run, request);
        }
    }
}

fn ended_under(run: &Incarnation, request: Fingerprint) {
    metrics::counter!("snipeyoke_crash_strikes_total").increment(1);
    log::warn!(event = "endpoint-ended", endpoint = run.to_string().as_str(), fingerprint = request.to_string().as_str(); "");
}

/// Tells whether an endpoint whose connection broke has ended.
///
/// Its host refuses connections then. One that does not answer may be cut off,
/// which no request is the cause of.
async fn look(run: Incarnation, address: SocketAddr, inbox: Sender<Message>) {
    let mut ended = is_refused(address).await;
    if !ended {
        Timer::after(LOOK_PAUSE).await;
        ended = is_refused(address).await;
    }
    let _closed = inbox.try_send(Message::Looked { run, ended });
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = link::connect(address, LOOK_LIMIT).await;
    connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}
