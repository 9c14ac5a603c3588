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

/// Lines that are kept of all files; more would say no more to a reader.
const MAX_KEPT_LINES: usize = 100_000;

/// The lines that were asked for, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct PickedLines {
    pub(super) lines: Vec<LogLine>,
    /// Lines that were read, whether they are kept or not.
    pub(super) read: u64,
    /// Lines that were asked for and no longer kept.
    pub(super) dropped: u64,
}

/// Reads files of logs and keeps the lines that `is_wanted` picks.
///
/// Lines that are no JSON of a sidecar are passed over, as other programs write to the same logs.
pub(super) fn pick_lines<F>(files: &[PathBuf], mut is_wanted: F) -> Result<PickedLines, CliError>
where
    F: FnMut(&LogLine) -> bool,
{
    let mut picked = PickedLines::default();
    for path in files {
        let unreadable = |source| CliError::Unreadable {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(unreadable)?;
        let mut reader = BufReader::new(file);
        let mut bytes = Vec::new();
        while read_line(&mut reader, &mut bytes).map_err(unreadable)? {
            picked.read += 1;
            let line = LogLine::parse(&String::from_utf8_lossy(&bytes));
            let Some(line) = line.filter(&mut is_wanted) else {
                continue;
            };
            if picked.lines.len() < MAX_KEPT_LINES {
                picked.lines.push(line);
            } else {
                picked.dropped += 1;
            }
        }
    }
    picked.lines.sort_by_key(|line| line.time);
    Ok(picked)
}

/// Reads one line without its end; what is longer than a line may be is cut. False at the end.
fn read_line(reader: &mut BufReader<File>, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    bytes.clear();
    let bound = MAX_LINE_BYTES as u64;
    let count = reader.by_ref().take(bound).read_until(b'\n', bytes)?;
    if count == MAX_LINE_BYTES && bytes.last() != Some(&b'\n') {
        reader.skip_until(b'\n')?;
    }
    Ok(count > 0)
}
