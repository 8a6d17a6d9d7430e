//! Hosts many instances of the decision module on the simulator's wire: batches on standard input, replies on
//! standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use weldworks_simhost::Adapter;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
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
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("weldworks-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
