//! HTTP server for HTTP/1.1 and h2, and the wait for the signal that ends a program.

mod http_server;
mod shutdown_signal;

pub use {
    http_server::{HttpServer, HttpService},
    shutdown_signal::shutdown_signal,
};
