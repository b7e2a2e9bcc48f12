//! Authentication of client accounts by bearer key.

use std::fmt::Write;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::ids::ClientAccount;

use super::error::IngressError;
use crate::board::ConfigFact;

/// Returns the key of the `Authorization` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the SHA-256 of a key.
pub(crate) fn digest(key: &str) -> Option<KeyDigest> {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(text, "{byte:02x}").ok()?;
    }
    text.parse().ok()
}

/// Returns the client account that the request's key belongs to.
///
/// The look-up is by the digest of the key, so its timing reveals nothing about
/// the key itself.
///
/// # Errors
///
/// Returns [`IngressError`] if the key is missing or belongs to no account.
pub(crate) fn account(
    headers: &HeaderMap,
    config: &ConfigFact,
) -> Result<ClientAccount, IngressError> {
    let key = bearer(headers).ok_or(IngressError::NoKey)?;
    let digest = digest(key).ok_or(IngressError::BadKey)?;
    config
        .keys
        .get(&digest)
        .cloned()
        .ok_or(IngressError::BadKey)
}
