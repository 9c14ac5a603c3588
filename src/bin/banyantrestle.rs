//! The command line for operators.

use {
    banyantrestle::cli::{self, CliOutput},
    std::{
        env,
        io::{stderr, stdout},
        process::ExitCode,
    },
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = env::args_os().skip(1).collect();
    let mut output = CliOutput::new(stdout().lock(), stderr().lock());
    cli::run(arguments, &mut output).await
}
