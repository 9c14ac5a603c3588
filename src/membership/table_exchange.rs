//! Push-pull of the records in which two tables differ.

use {
    super::{
        ExchangeAnswer, ExchangeOpen, ExchangePush, ExchangeReply, MAX_EXCHANGE_RECORDS,
        MemberEntry, MemberId, MemberRecord, MemberState, MemberSummary, MemberTable,
    },
    std::{cmp::Ordering, collections::BTreeMap, net::SocketAddr},
};

/// What the opener sends first.
#[must_use]
pub fn open_exchange(table: &MemberTable, sender: MemberId) -> ExchangeOpen {
    ExchangeOpen {
        sender,
        digest: table.digest().clone(),
    }
}

/// What the other side answers; `None` if the digest has another form.
#[must_use]
pub fn answer_exchange(table: &MemberTable, open: &ExchangeOpen) -> Option<ExchangeAnswer> {
    let buckets = table.digest().difference(&open.digest)?;
    let summaries = table.in_buckets(buckets).map(MemberEntry::summary);
    Some(ExchangeAnswer {
        buckets,
        summaries: summaries.collect(),
    })
}

/// What the opener has newer, and what it wants.
#[must_use]
pub fn resolve_exchange(table: &MemberTable, answer: &ExchangeAnswer) -> ExchangePush {
    let mut theirs: BTreeMap<SocketAddr, MemberSummary> = BTreeMap::new();
    for summary in &answer.summaries {
        theirs.insert(summary.id.address, *summary);
    }
    let mut push = ExchangePush::default();
    for entry in table.in_buckets(answer.buckets) {
        let own = entry.summary();
        match theirs.remove(&own.id.address) {
            Some(other) => match compare(&own, &other) {
                Ordering::Greater => push.records.push(copy_record(entry)),
                Ordering::Less => push.wanted.push(other.id),
                Ordering::Equal => {}
            },
            None if entry.is_dead() => {}
            None => push.records.push(copy_record(entry)),
        }
    }
    let unknown = theirs.into_values();
    let unknown = unknown.filter(|summary| summary.state != MemberState::Dead);
    push.wanted.extend(unknown.map(|summary| summary.id));
    push
}

/// The wanted records.
#[must_use]
pub fn reply_exchange(table: &MemberTable, wanted: &[MemberId]) -> ExchangeReply {
    let wanted = wanted.iter().take(MAX_EXCHANGE_RECORDS);
    let keys = wanted.filter_map(|id| table.find(id.address));
    let entries = keys.filter_map(|key| table.get(key));
    ExchangeReply {
        records: entries.map(copy_record).collect(),
    }
}

fn compare(own: &MemberSummary, other: &MemberSummary) -> Ordering {
    let rank = |summary: &MemberSummary| {
        (
            summary.id.started_ms,
            summary.incarnation,
            summary.state,
            summary.fingerprint,
        )
    };
    rank(own).cmp(&rank(other))
}

fn copy_record(entry: &MemberEntry) -> MemberRecord {
    MemberRecord::clone(&entry.record)
}
