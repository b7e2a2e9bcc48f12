//! HTTP/1.1 over the project's executor.

mod body;
mod client;
mod server;

pub use body::BodyError;
pub use body::Cut;
pub use body::ReplyBody;
pub use body::collect;
pub use body::collect_noting;
pub use body::cuttable;
pub use body::empty;
pub use body::full;
pub use body::holding;
pub use body::streamed;
pub use client::Client;
pub use client::ClientError;
pub use client::Kept;
pub use client::Response;
pub use server::Bounds;
pub use server::Handler;
pub use server::Reply;
pub use server::Request;
pub use server::bind;
pub use server::serve;
pub use server::serve_until;
