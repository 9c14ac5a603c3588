//! Reads log files and selects lines from them.

use {
    super::{
        CliError,
        log_line::{LogLine, MAX_LINE_BYTES},
    },
    std::{
        fs::File,
        io::{BufRead, BufReader, Read},
        path::PathBuf,
    },
};

/// Maximum number of lines kept from all files; further ones would not help a reader.
const MAX_SELECTED_LINES: usize = 100_000;

/// Selected lines in the order of their times.
#[derive(Debug, Default)]
pub(super) struct SelectedLines {
    pub(super) lines: Vec<LogLine>,
    /// Number of lines that were read, selected or not.
    pub(super) read_line_count: u64,
    /// Number of selected lines that were dropped because of [`MAX_SELECTED_LINES`].
    pub(super) dropped_line_count: u64,
}

/// Reads log files and returns the lines for which `is_selected` is true.
///
/// Lines that are not JSON log lines are skipped, since other programs write to the same files.
pub(super) fn select_lines<F>(
    files: &[PathBuf],
    mut is_selected: F,
) -> Result<SelectedLines, CliError>
where
    F: FnMut(&LogLine) -> bool,
{
    let mut selected = SelectedLines::default();
    for path in files {
        let unreadable_file = |source| CliError::UnreadableFile {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(unreadable_file)?;
        let mut reader = BufReader::new(file);
        let mut bytes = Vec::new();
        while read_line(&mut reader, &mut bytes).map_err(unreadable_file)? {
            selected.read_line_count += 1;
            let line = LogLine::parse(&String::from_utf8_lossy(&bytes));
            let Some(line) = line.filter(&mut is_selected) else {
                continue;
            };
            if selected.lines.len() < MAX_SELECTED_LINES {
                selected.lines.push(line);
            } else {
                selected.dropped_line_count += 1;
            }
        }
    }
    selected.lines.sort_by_key(|line| line.time);
    Ok(selected)
}

/// Reads one line and truncates it to [`MAX_LINE_BYTES`]; false at the end of the file.
fn read_line(reader: &mut BufReader<File>, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    bytes.clear();
    let limit = MAX_LINE_BYTES as u64;
    let count = reader.by_ref().take(limit).read_until(b'\n', bytes)?;
    if count == MAX_LINE_BYTES && bytes.last() != Some(&b'\n') {
        reader.skip_until(b'\n')?;
    }
    Ok(count > 0)
}
