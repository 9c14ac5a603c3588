use {
    super::{ClaimRecord, claim_row::CLAIMS_TABLE},
    crate::{
        membership::MemberId,
        table::{TableRow, TableWrite, WriteCondition},
    },
    std::{mem, net::SocketAddr, time::Duration},
};

/// Time for which a row is kept after its retry window.
const EXPIRY_GRACE: Duration = Duration::from_secs(3_600);

/// Finds claims of one service whose retry window has passed, page by page.
///
/// A row has expired only if its window has passed both by the clock of the sweeping process and by
/// the newest claims of two other processes, so that a single clock that runs ahead deletes
/// nothing.
#[derive(Clone, Debug)]
pub struct ExpirySweep {
    member: MemberId,
    /// Newest claims of two other processes, newer first.
    newest_claims: [Option<NewestClaim>; 2],
    prefix: String,
    cursor: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NewestClaim {
    holder: SocketAddr,
    created_ms: u64,
}

impl ExpirySweep {
    /// Creates a sweep of the rows whose key starts with `prefix`.
    #[must_use]
    pub fn new(member: MemberId, prefix: String) -> Self {
        Self {
            member,
            newest_claims: [None; 2],
            cursor: prefix.clone(),
            prefix,
        }
    }

    /// Key after which the next page starts.
    #[must_use]
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Processes a page and returns the deletions of its expired rows. A page that is empty or ends
    /// with rows of another prefix ends the pass, and the next pass starts at the first row.
    pub fn process_page(&mut self, page: &[TableRow], wall_ms: u64) -> Vec<TableWrite> {
        let rows = page
            .iter()
            .take_while(|row| row.key.starts_with(&self.prefix));
        let claims: Vec<(&TableRow, ClaimRecord)> = rows
            .filter_map(|row| Some((row, serde_json::from_str(&row.value).ok()?)))
            .collect();
        for (_, record) in &claims {
            self.observe(record);
        }
        self.advance(page);
        let Some(cutoff_ms) = self.cutoff_ms(wall_ms) else {
            return Vec::new();
        };
        claims
            .into_iter()
            .filter(|(_, record)| expires_ms(record) <= cutoff_ms)
            .map(|(row, _)| deletion(row))
            .collect()
    }

    /// Whether the next page is the first of a pass.
    #[must_use]
    pub fn is_at_start(&self) -> bool {
        self.cursor == self.prefix
    }

    fn advance(&mut self, page: &[TableRow]) {
        let is_inside = |row: &&TableRow| row.key.starts_with(&self.prefix);
        self.cursor = match page.last().filter(is_inside) {
            Some(row) => row.key.clone(),
            None => self.prefix.clone(),
        };
    }

    /// Updates the newest claims of other processes.
    fn observe(&mut self, record: &ClaimRecord) {
        let claim = NewestClaim {
            holder: record.holder.address,
            created_ms: record.created_ms,
        };
        if claim.holder == self.member.address {
            return;
        }
        let [first, second] = &mut self.newest_claims;
        let is_of_holder = |newest: &NewestClaim| newest.holder == claim.holder;
        if first.as_ref().is_some_and(is_of_holder) {
            *first = newer(*first, claim);
        } else {
            if second.is_none_or(|second| second.created_ms < claim.created_ms) {
                *second = Some(claim);
            }
            let is_out_of_order =
                first.map(|first| first.created_ms) < second.map(|second| second.created_ms);
            if is_out_of_order {
                mem::swap(first, second);
            }
        }
    }

    /// Rows that expire at or before this time are deleted, in ms of the Unix epoch.
    fn cutoff_ms(&self, wall_ms: u64) -> Option<u64> {
        let second_newest_ms = self.newest_claims[1]?.created_ms;
        let grace = u64::try_from(EXPIRY_GRACE.as_millis()).unwrap_or(u64::MAX);
        wall_ms.min(second_newest_ms).checked_sub(grace)
    }
}

fn newer(known: Option<NewestClaim>, claim: NewestClaim) -> Option<NewestClaim> {
    known.map(|known| NewestClaim {
        created_ms: known.created_ms.max(claim.created_ms),
        ..known
    })
}

fn expires_ms(record: &ClaimRecord) -> u64 {
    let window_ms = record.window_s.saturating_mul(1_000);
    record.created_ms.saturating_add(window_ms)
}

fn deletion(row: &TableRow) -> TableWrite {
    TableWrite {
        table: CLAIMS_TABLE.into(),
        key: row.key.clone(),
        write_id: row.write_id.clone(),
        value: None,
        condition: WriteCondition::WriteId(row.write_id.clone()),
    }
}
