//! HTTP/1.1 over the project's executor.

mod body;
mod client;
mod connections;
mod server;
mod socket;

pub use body::BodyAborted;
pub use body::BodyError;
pub use body::ReplyBody;
pub use body::abortable;
pub use body::collect;
pub use body::collect_with_progress;
pub use body::empty;
pub use body::full;
pub use body::next_slice;
pub use body::sliced;
pub use body::streamed;
pub use body::with_guard;
pub use client::Client;
pub use client::ClientError;
pub use client::PooledConn;
pub use client::Response;
pub use connections::CallerConnection;
pub use connections::HeldBody;
pub use connections::HeldMemory;
pub use server::Bounds;
pub use server::HEADER_MAX_BYTES;
pub use server::Handler;
pub use server::Reply;
pub use server::Request;
pub use server::serve;
pub use server::serve_until;
