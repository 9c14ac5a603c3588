//! Command `timeline`: prints the merged events of several daemons.

use {
    super::{
        CliError, CliOutput, admin_client::AdminClient, command_flags::Timeline,
        event_line::EventLine,
    },
    crate::{
        error::{ProcessStep, StepError},
        events::{EventFilter, EventPage, EventTimeline, MAX_PAGE_EVENTS},
    },
    futures_util::future::join_all,
    std::{io::Write, net::SocketAddr},
};

/// Events requested per page.
const PAGE_EVENTS: usize = 2_000;
/// Maximum number of pages read from one daemon.
const MAX_PAGES: usize = 64;

const _: () = assert!(PAGE_EVENTS <= MAX_PAGE_EVENTS);

pub(super) async fn run<O, E>(
    flags: &Timeline,
    output: &mut CliOutput<O, E>,
) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let total = flags.addresses.len();
    if total == 0 {
        return Err(CliError::Usage("timeline needs an admin address".into()));
    }
    let mut pages = Vec::new();
    let mut failed = 0;
    for fetched_pages in join_all(flags.addresses.iter().copied().map(fetch_pages)).await {
        match fetched_pages {
            Ok(fetched_pages) => pages.extend(fetched_pages),
            Err(error) => {
                failed += 1;
                output.print_error(error);
            }
        }
    }
    report_dropped_events(&pages, output);
    print_events(flags, &EventTimeline::build(pages), output);
    if failed > 0 {
        return Err(CliError::DaemonsUnreachable { failed, total });
    }
    Ok(())
}

/// Reads the event log of one daemon up to its end. New events can arrive meanwhile, so the number
/// of pages is limited.
async fn fetch_pages(address: SocketAddr) -> Result<Vec<EventPage>, StepError> {
    let client = AdminClient::new(address);
    let mut pages = Vec::new();
    let mut since = 0;
    for _ in 0..MAX_PAGES {
        let path = format!("/events?since={since}&limit={PAGE_EVENTS}");
        let body = client.get(&path).await?;
        let page = EventPage::decode(&body)
            .map_err(|error| StepError::new(ProcessStep::CallAdmin, address, error))?;
        let is_last = page.events.len() < PAGE_EVENTS || page.next <= since;
        since = page.next;
        pages.push(page);
        if is_last {
            break;
        }
    }
    Ok(pages)
}

fn report_dropped_events<O, E>(pages: &[EventPage], output: &mut CliOutput<O, E>)
where
    O: Write,
    E: Write,
{
    for page in pages.iter().filter(|page| page.dropped > 0) {
        let (process, dropped) = (page.process, page.dropped);
        output.print_error(format_args!(
            "{process}: {dropped} earlier events are no longer in its log"
        ));
    }
}

fn print_events<O, E>(flags: &Timeline, timeline: &EventTimeline, output: &mut CliOutput<O, E>)
where
    O: Write,
    E: Write,
{
    let is_bounded = flags.from.is_some() || flags.to.is_some();
    let range = flags.from.unwrap_or(0)..flags.to.unwrap_or(u64::MAX);
    let filter = EventFilter {
        request: flags.request,
        peer: flags.target,
        kind: flags.kind,
        wall_ms: is_bounded.then_some(range),
    };
    for entry in timeline.events(&filter) {
        let line = EventLine::new(entry);
        if flags.json {
            output.print_json(&line);
        } else {
            output.print_line(line.to_text());
        }
    }
}
