//! Input and output: the platform protocol and the REST API for clients, the links to machines and peers, the
//! import of HAR files and access logs, and the hub that connects them to the core.

pub mod errors;
pub mod hub;
pub mod import;
pub mod outbox;
pub mod peers;
pub mod platform;
pub mod read_buffers;
pub mod rest;
pub mod socket_read;
mod trail;
