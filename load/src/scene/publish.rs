//! A whole configuration as the changes that an operator would append.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use uuid::Uuid;

/// The operator named as the author.
const OPERATOR: &str = "bench";

/// Returns changes that lead from an empty configuration to this one.
#[must_use]
pub fn changes(config: &Config) -> Vec<Change> {
    let pools = config.pools.iter().map(|(name, pool)| Change::SetPool {
        name: name.clone(),
        pool: pool.clone(),
    });
    let accounts = config.accounts.iter();
    let accounts = accounts.map(|(name, account)| Change::SetAccount {
        name: name.clone(),
        account: account.clone(),
    });
    let pipelines = config.pipelines.iter();
    let pipelines = pipelines.map(|(name, pipeline)| Change::SetPipeline {
        name: name.clone(),
        pipeline: pipeline.clone(),
    });
    let bindings = config.bindings.iter().flat_map(|(account, kinds)| {
        kinds.iter().map(|(kind, pipeline)| Change::Bind {
            account: account.clone(),
            kind: kind.clone(),
            pipeline: pipeline.clone(),
        })
    });
    pools
        .chain(accounts)
        .chain(pipelines)
        .chain(bindings)
        .collect()
}

/// Returns the body of one append that publishes a configuration on an empty log.
///
/// # Errors
///
/// Returns [`IdError`] only if the author's name is malformed, which is a bug.
pub fn records(config: &Config) -> Result<Bytes, IdError> {
    let author = Author::Operator(OPERATOR.parse()?);
    let mut body = BytesMut::new();
    let mut base = Revision::default();
    for change in changes(config) {
        let record = Record {
            id: RecordId(Uuid::now_v7()),
            author: author.clone(),
            body: Body::ConfigChange { base, change },
        };
        let bytes = record.encode();
        body.put_u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
        body.put_slice(&bytes);
        base = base.next();
    }
    Ok(body.freeze())
}
