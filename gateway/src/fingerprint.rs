//! The hash that identifies attempts at the same request.

use hyper::header::HOST;
use hyper::http::request;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::serving::catalog::host_name;
use snipeyoke_lib::serving::crashes::Fingerprint;

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
    let mut hash = Sha256::new();
    // Length prefixes tell apart requests whose concatenated fields are equal.
    for part in [
        method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        account.as_bytes(),
        body,
    ] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let half = digest.iter().take(16);
    Fingerprint(half.fold(0, |sum, &byte| sum << 8 | u128::from(byte)))
}
