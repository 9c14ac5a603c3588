//! Output of commands to standard output and standard error.

use {
    serde::Serialize,
    std::{fmt::Display, io::Write},
};

/// Standard output and standard error of a command.
///
/// Write errors are ignored, since a reader such as `head` may close the pipe early. Control
/// characters are removed, so that text from a daemon cannot contain terminal escape sequences.
pub struct CliOutput<O, E> {
    output: O,
    errors: E,
}

impl<O: Write, E: Write> CliOutput<O, E> {
    pub const fn new(output: O, errors: E) -> Self {
        Self { output, errors }
    }

    /// Prints a line of the result.
    pub fn print_line(&mut self, line: impl Display) {
        let _ = writeln!(
            self.output,
            "{}",
            strip_control_characters(&line.to_string())
        );
    }

    /// Prints a result as one line of JSON.
    pub fn print_json(&mut self, value: &impl Serialize) {
        let text = serde_json::to_string(value).unwrap_or_default();
        self.print_line(text);
    }

    /// Prints an error to standard error.
    pub fn print_error(&mut self, error: impl Display) {
        let _ = writeln!(
            self.errors,
            "{}",
            strip_control_characters(&error.to_string())
        );
    }

    /// Prints rows with aligned columns.
    pub fn print_table(&mut self, rows: &[Vec<String>]) {
        let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &String| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            self.print_line(cells.join("  ").trim_end());
        }
    }
}

fn strip_control_characters(text: &str) -> String {
    let is_printable = |character: &char| *character == '\n' || !character.is_control();
    text.chars().filter(is_printable).collect()
}
