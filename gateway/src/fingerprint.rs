//! The hashes that identify attempts at the same request, and streams.

use hyper::header::HOST;
use hyper::http::request;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::serving::catalog::host_name;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::stream_origins::StreamId;

/// Hashes a request's method, host, path, query, account and body.
pub(crate) fn fingerprint(
    head: &request::Parts,
    account: Option<&ClientAccount>,
    body: &[u8],
) -> Fingerprint {
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host_name(host.unwrap_or_default());
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let account = account.map_or("", ClientAccount::as_str);
    let method = head.method.as_str();
    let parts = [
        method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        account.as_bytes(),
        body,
    ];
    Fingerprint(hash(&parts))
}

/// Hashes a client account and the attempt that brought the first event.
///
/// One account can't learn of the streams of another.
pub(crate) fn stream_id(account: Option<&ClientAccount>, attempt: &str) -> StreamId {
    let account = account.map_or("", ClientAccount::as_str);
    StreamId(hash(&[account.as_bytes(), attempt.as_bytes()]) as u64)
}

fn hash(parts: &[&[u8]]) -> u128 {
    let mut hash = Sha256::new();
    // Length prefixes tell apart parts that are equal when concatenated.
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let half = digest.iter().take(16);
    half.fold(0, |sum, &byte| sum << 8 | u128::from(byte))
}
