//! The program that the simulator runs: it reads batches of events from standard input and writes replies to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use weldworks_simhost::{Adapter, InputError};

/// Capacity of the input buffer, in bytes: batches of a large simulation are long lines.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

/// Reason why the program ends before the end of its input.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Input(#[from] InputError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn answer_all() -> Result<(), ProgramError> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    while input.read_line(&mut line)? > 0 {
        if !line.trim().is_empty() {
            let mut reply = adapter.answer(&line)?;
            reply.push('\n');
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
        line.clear();
    }
    Ok(())
}

fn main() -> ExitCode {
    match answer_all() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("weldworks-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
