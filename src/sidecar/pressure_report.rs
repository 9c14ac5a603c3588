use {crate::context::ServiceName, std::time::Duration};

/// Header that carries what a daemon knows of loaded services, on each of its answers.
pub(crate) const RUMOUR_HEADER: &str = "bt-hot";

/// Services that are told of at most.
const MAX_SERVICES: usize = 2;
/// Pressure under which a service is not worth telling of.
const LEAST_PRESSURE: f64 = 0.7;
/// Age from which a pressure is not told any more.
const MAX_AGE: Duration = Duration::from_millis(400);
const PERCENT: f64 = 100.0;

/// The pressure of one service, as it was known some time ago.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePressure {
    pub service: ServiceName,
    pub pressure: f64,
    pub age: Duration,
}

/// What one daemon knows of loaded services.
///
/// An answer tells of the services below its own call only when the call has ended. Rumours on all
/// answers reach the fronts in a few milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressureReport {
    services: Vec<ServicePressure>,
}

impl PressureReport {
    /// Keeps the most loaded of what is known well enough.
    #[must_use]
    pub fn new(known: impl Iterator<Item = ServicePressure>) -> Self {
        let is_told =
            |known: &ServicePressure| known.pressure >= LEAST_PRESSURE && known.age < MAX_AGE;
        let mut services: Vec<ServicePressure> = known.filter(is_told).collect();
        services.sort_by(|one, other| other.pressure.total_cmp(&one.pressure));
        services.truncate(MAX_SERVICES);
        Self { services }
    }

    #[must_use]
    pub fn services(&self) -> &[ServicePressure] {
        &self.services
    }

    /// The header value.
    #[must_use]
    pub fn encode(&self) -> String {
        let texts = self.services.iter().map(|known| {
            let percent = known.pressure * PERCENT;
            format!("{}={percent:.0}/{}", known.service, known.age.as_millis())
        });
        texts.collect::<Vec<_>>().join(",")
    }

    /// Reads a header value; entries that can't be read are left out.
    #[must_use]
    pub fn decode(text: &str) -> Self {
        let entries = text.split(',').take(MAX_SERVICES);
        let services = entries.filter_map(parse_entry).collect();
        Self { services }
    }
}

fn parse_entry(text: &str) -> Option<ServicePressure> {
    let (service, rest) = text.split_once('=')?;
    let (percent, age) = rest.split_once('/')?;
    let percent: u32 = percent.parse().ok()?;
    Some(ServicePressure {
        service: ServiceName::new(service).ok()?,
        pressure: f64::from(percent) / PERCENT,
        age: Duration::from_millis(age.parse().ok()?),
    })
}
