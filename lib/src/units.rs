//! Sizes, rates and costs, each a type of its own.

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
    /// Processor power, in thousandths of a core.
    MilliCores(u32),
    "{}"
);
unit!(
    /// Requests a second.
    RequestRate(f64),
    "{}"
);
unit!(
    /// Tokens a second.
    TokenRate(f64),
    "{}"
);
unit!(
    /// A cost in endpoint-seconds weighted by the pool's price.
    Cost(f64),
    "{:.4}"
);
