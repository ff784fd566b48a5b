//! Entry point of the proxy. The code is in the library, so that other programs of the workspace can run it
//! too.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    martenweir::commands::main(std::env::args_os().skip(1))
}
