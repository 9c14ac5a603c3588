//! Decisions of the sidecar, without clock or sockets.

mod admission;
mod budget;
mod contexts;
mod guard;
mod load_play;
mod members;
mod peers;
mod register;
mod repeats;
mod routes;
