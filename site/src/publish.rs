//! Publishes configuration changes as an operator does.

use std::time::Duration;

use async_io::Timer;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::log::Append;
use snipeyoke_lib::log::AppendEnd;
use snipeyoke_lib::log::LogStore;
use snipeyoke_lib::log::Topic;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use uuid::Uuid;

use crate::error::SiteError;

/// The tries before the log counts as down.
const TRIES: u32 = 50;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Appends changes, the first one made on `base`.
pub(crate) async fn publish(
    log: &dyn LogStore,
    base: Revision,
    changes: &[Change],
) -> Result<Revision, SiteError> {
    let mut base = base;
    let mut records = Vec::new();
    for change in changes {
        let record = Record {
            id: RecordId(Uuid::now_v7()),
            author: Author::Operator("site".parse()?),
            body: Body::ConfigChange {
                base,
                change: change.clone(),
            },
        };
        base = base.next();
        records.push(record.encode());
    }
    for _try in 0..TRIES {
        let append = Append {
            topic: Topic::config(),
            records: records.clone(),
        };
        // The record ids stay the same, so a repeated append is harmless.
        if let AppendEnd::Done { .. } = log.append(append).await {
            return Ok(base);
        }
        Timer::after(PAUSE).await;
    }
    Err(SiteError::NotPublished)
}
