//! The executable `weldworks-gateway`.

use std::process::ExitCode;

fn main() -> ExitCode {
    weldworks_gateway::cli::main()
}
