//! Who asks: an operator by the digest of their key.

use hyper::HeaderMap;
use snipeyoke_lib::ids::Operator;
use subtle::Choice;
use subtle::ConstantTimeEq;

use crate::ingress::bearer;
use crate::ingress::digest;
use crate::settings::OperatorKey;

/// Finds the operator whose key the request carries.
///
/// Every digest is compared whole and in constant time. A comparison that ends
/// at the first difference would tell by its time how much of a digest was
/// guessed; the key itself is never compared or logged.
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
