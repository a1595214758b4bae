//! The `burlhook` program: runs a planner and its tools from the command line.

fn main() -> std::process::ExitCode {
    burlhook::life::cli::main()
}
