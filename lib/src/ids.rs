//! Newtypes for identifiers.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// The maximum length of a name, in bytes.
pub const NAME_MAX: usize = 64;

/// The reason why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum IdError {
    /// The text is empty.
    #[display("the name is empty: give it 1 to {NAME_MAX} characters")]
    Empty,
    /// The text is longer than [`NAME_MAX`].
    #[display("the name has {len} bytes: shorten it to {NAME_MAX} at most")]
    TooLong {
        /// The length found, in bytes.
        len: usize,
    },
    /// The text contains a character outside the allowed set.
    #[display("the name holds {found:?}: use letters, digits, '-', '_', '.', ':' and '/' only")]
    BadChar {
        /// The first offending character.
        found: char,
    },
    /// The text is not a UUID.
    #[display("{text:?} is no UUID: write it as 8-4-4-4-12 hexadecimal digits")]
    BadUuid {
        /// The rejected text.
        #[error(not(source))]
        text: String,
    },
}

impl IdError {
    /// Returns whether the text was empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > NAME_MAX {
        return Err(IdError::TooLong { len: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(IdError::BadChar { found }),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[doc = $doc:literal])+ $name:ident) => {
        $(#[doc = $doc])+
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_id!(
    /// Names a client account.
    ClientAccount
);
name_id!(
    /// Names a request kind, as given by callers.
    RequestKind
);
name_id!(
    /// Names a pipeline.
    PipelineName
);
name_id!(
    /// Names a stage within its pipeline.
    StageName
);
name_id!(
    /// Names a pool of endpoints that serve the same stages.
    PoolName
);
name_id!(
    /// Names a model that an engine can load.
    ModelName
);
name_id!(
    /// Names an endpoint, unique within the deployment.
    EndpointId
);
/// The software version of an endpoint.
///
/// Any text; versions have no order, only equality.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as it was registered.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl std::fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.escape_debug())
    }
}

name_id!(
    /// Names a node (a process of snipeyoke), unique within the deployment.
    NodeId
);
name_id!(
    /// Names a host.
    HostId
);
name_id!(
    /// Names a failure domain.
    FailureDomain
);
name_id!(
    /// Names a region.
    Region
);
name_id!(
    /// Names an operator, as the author of a change.
    Operator
);

macro_rules! number_id {
    ($(#[doc = $doc:literal])+ $name:ident) => {
        $(#[doc = $doc])+
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        #[derive(Display, derive_more::FromStr, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_id!(
    /// The position of a record in a topic of the log service, from 0.
    Offset
);
number_id!(
    /// Numbers the versions of the configuration; 0 is the empty one.
    Revision
);
number_id!(
    /// Orders the holders of one lease; equals the offset of the claim.
    FencingNumber
);
number_id!(
    /// Distinguishes restarts of one process; a greater number is later.
    Incarnation
);
number_id!(
    /// Numbers the attempts of one request, from 0.
    AttemptId
);

/// Identifies one accepted request within the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Uuid);

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let uuid = Uuid::parse_str(text);
        uuid.map(Self).map_err(|_malformed| IdError::BadUuid {
            text: text.to_owned(),
        })
    }
}
