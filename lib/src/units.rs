//! Newtypes for sizes, rates and costs.

use derive_more::Add;
use derive_more::AddAssign;
use derive_more::Display;
use derive_more::FromStr;
use derive_more::Sum;
use serde::Deserialize;
use serde::Serialize;

macro_rules! unit {
    ($(#[doc = $doc:literal])+ $name:ident($inner:ty), $format:literal) => {
        $(#[doc = $doc])+
        #[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
        #[derive(Add, AddAssign, Display, FromStr, Sum, Serialize, Deserialize)]
        #[display($format, _0)]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

unit!(
    /// A count of tokens.
    Tokens(u32),
    "{}"
);
unit!(
    /// A size in bytes.
    Bytes(u64),
    "{}"
);
unit!(
    /// CPU capacity, in thousandths of a core.
    MilliCores(u32),
    "{}"
);
unit!(
    /// Requests per second.
    RequestRate(f64),
    "{}"
);
unit!(
    /// Tokens per second.
    TokenRate(f64),
    "{}"
);
unit!(
    /// A cost in endpoint-seconds weighted by the pool's price.
    Cost(f64),
    "{:.4}"
);
