//! Authentication of operators by the digest of their key.

use hyper::HeaderMap;
use snipeyoke_lib::ids::Operator;
use subtle::Choice;
use subtle::ConstantTimeEq;

use crate::ingress::bearer;
use crate::ingress::digest;
use crate::settings::OperatorKey;

/// Returns the operator whose key the request carries.
///
/// All digests are compared in full and in constant time, so that the response
/// time does not reveal how much of a digest was guessed. The key itself is
/// never compared or logged.
pub(crate) fn operator(headers: &HeaderMap, known: &[OperatorKey]) -> Option<Operator> {
    let given = digest(bearer(headers)?)?.to_string();
    let mut found = None;
    for operator in known {
        let digest = operator.digest.to_string();
        let same: Choice = digest.as_bytes().ct_eq(given.as_bytes());
        if bool::from(same) {
            found = Some(operator.name.clone());
        }
    }
    found
}
