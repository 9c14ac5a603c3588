use {super::QueuePressure, crate::context::ServiceName, std::time::Duration};

/// Response header with the pressures of loaded services.
pub(crate) const PRESSURE_HEADER: &str = "bt-hot";

/// Maximum number of services in a report.
const MAX_SERVICES: usize = 2;
/// Pressure below which a service is not reported.
const MIN_REPORTED_PRESSURE: f64 = 0.7;
/// Age from which a pressure is not reported.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);
const PERCENT: f64 = 100.0;

/// Pressure of one service, measured `age` ago.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePressure {
    pub service: ServiceName,
    pub pressure: QueuePressure,
    pub age: Duration,
}

/// The pressures of the most loaded services that one sidecar knows.
///
/// The cost report of a call reaches its caller only when the call has ended. Pressure reports
/// travel on every response between sidecars and reach the ingress sidecars within a few
/// milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressureReport {
    services: Vec<ServicePressure>,
}

impl PressureReport {
    /// Keeps the most loaded services whose pressure is recent enough.
    #[must_use]
    pub fn new(known: impl Iterator<Item = ServicePressure>) -> Self {
        let is_reported = |known: &ServicePressure| {
            known.pressure.total >= MIN_REPORTED_PRESSURE && known.age < MAX_REPORT_AGE
        };
        let mut services: Vec<ServicePressure> = known.filter(is_reported).collect();
        services.sort_by(|one, other| other.pressure.total.total_cmp(&one.pressure.total));
        services.truncate(MAX_SERVICES);
        Self { services }
    }

    #[must_use]
    pub fn services(&self) -> &[ServicePressure] {
        &self.services
    }

    /// Encodes the header value: for each service its name, the total pressure in percent, the age
    /// in ms, and the pressure of the ranks above the lowest in percent, as in `top=900/0/110`.
    #[must_use]
    pub fn encode(&self) -> String {
        let texts = self.services.iter().map(|known| {
            let total = known.pressure.total * PERCENT;
            let urgent = known.pressure.urgent * PERCENT;
            let age = known.age.as_millis();
            format!("{}={total:.0}/{age}/{urgent:.0}", known.service)
        });
        texts.collect::<Vec<_>>().join(",")
    }

    /// Parses a header value; malformed entries are skipped.
    #[must_use]
    pub fn decode(text: &str) -> Self {
        let entries = text.split(',').take(MAX_SERVICES);
        let services = entries.filter_map(parse_entry).collect();
        Self { services }
    }
}

fn parse_entry(text: &str) -> Option<ServicePressure> {
    let (service, rest) = text.split_once('=')?;
    let (total, rest) = rest.split_once('/')?;
    let (age, urgent) = rest.split_once('/')?;
    let parse_percent = |text: &str| -> Option<f64> {
        let percent: u32 = text.parse().ok()?;
        Some(f64::from(percent) / PERCENT)
    };
    Some(ServicePressure {
        service: ServiceName::new(service).ok()?,
        pressure: QueuePressure {
            total: parse_percent(total)?,
            urgent: parse_percent(urgent)?,
        },
        age: Duration::from_millis(age.parse().ok()?),
    })
}
