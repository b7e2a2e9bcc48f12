//! Follows the configuration's topic and puts it in force on the board.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::log::Followed;
use snipeyoke_lib::log::Follower;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Topic;

use crate::board::ConfigFact;
use crate::node::Node;

/// The shortest pause of the loop, for a wake time that has just passed.
const PAUSE_MIN: Duration = Duration::from_millis(1);

/// Follows the configuration until the router stops.
pub(crate) async fn run(node: Arc<Node>, log: Arc<dyn LogStore>) {
    let mut fold = Fold::new();
    let mut follower = Follower::new(Topic::config(), Offset(0), node.incarnation.0);
    while !node.board.stop.is_set() {
        let now = node.clock.now();
        let Some(read) = follower.poll(now) else {
            pause(&node, follower.wake().since(now)).await;
            continue;
        };
        let stopped = async {
            node.board.stop.wait().await;
            None
        };
        let answered = async { Some(log.read(read).await) };
        let Some(end) = answered.or(stopped).await else {
            return;
        };
        let now = node.clock.now();
        let news = follower.answered(now, end);
        let before = fold.revision();
        let read = take(&node, &mut fold, news);
        if fold.revision() != before {
            put_in_force(&node, &fold);
        }
        // An operator who is told "accepted" may ask this router at once, so
        // the change is in force here before they are told.
        for (bytes, applied) in &read {
            node.control.waiters.tell(bytes, applied);
        }
    }
}

async fn pause(node: &Node, wait: Duration) {
    let pause = async {
        Timer::after(wait.max(PAUSE_MIN)).await;
    };
    pause.or(node.board.stop.wait()).await;
}

fn take(node: &Node, fold: &mut Fold, news: Followed) -> Vec<(Vec<u8>, Applied)> {
    let Followed::Records { records, .. } = news else {
        if let Followed::Behind { first } = news {
            log::warn!(event = "config-behind", first = first.0, remedy = "wait for a snapshot"; "");
        }
        return Vec::new();
    };
    let mut read = Vec::new();
    for (offset, bytes) in records {
        let applied = fold.apply_bytes(offset, &bytes);
        node.control.on_applied(&applied, fold);
        match &applied {
            Applied::Accepted { revision } => {
                log::info!(event = "config-accepted", offset = offset.0, revision = revision.0; "");
            }
            other => {
                log::info!(event = "config-record", offset = offset.0, applied = format!("{other:?}").as_str(); "");
            }
        }
        read.push((bytes, applied));
    }
    read
}

fn put_in_force(node: &Node, fold: &Fold) {
    let config = fold.config();
    {
        let mut shared = node.shared();
        for (name, pool) in &config.pools {
            shared.fleet.set_price(name, pool.price);
        }
        let accounts = config.accounts.iter();
        shared.shares = accounts.map(|(n, a)| (n.clone(), a.share)).collect();
    };
    node.admission.set(node.clock.now(), &config);
    let fact = ConfigFact::new(config, fold.revision());
    node.board.config.set(fact);
}
