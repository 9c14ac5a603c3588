//! Runs the main job on an embedded default.

fn main() {
    println!("{}", env!("CARGO_PKG_NAME"));
}
