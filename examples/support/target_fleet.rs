use {
    super::deployment_spec::{DeploymentSpec, service_name},
    standins::{
        client::{CallClient, CallRouter, DirectRoutes},
        target::{RunLedger, TargetStandin},
    },
};

/// Attempts of one call at each hop without daemons, the first included.
const DIRECT_ATTEMPTS: u32 = 3;

/// A target and the index of its data centre.
#[derive(Debug)]
pub struct PlacedTarget {
    pub data_centre: usize,
    pub target: TargetStandin,
}

/// All targets of a deployment without daemons. Callers and other targets call them directly, and
/// each hop retries independently.
#[derive(Debug)]
pub struct TargetFleet {
    pub targets: Vec<PlacedTarget>,
    pub ledger: RunLedger,
    routes: DirectRoutes,
}

impl TargetFleet {
    pub async fn start(spec: &DeploymentSpec, seed: u64) -> anyhow::Result<Self> {
        let mut fleet = Self {
            targets: Vec::new(),
            ledger: RunLedger::default(),
            routes: DirectRoutes::new(DIRECT_ATTEMPTS),
        };
        for service in &spec.services {
            for number in 0..service.targets {
                let settings =
                    service.target_settings(spec.deadline, seed + fleet.targets.len() as u64);
                let router = CallRouter::Direct(fleet.routes.clone());
                let target = TargetStandin::start(settings, router, fleet.ledger.clone()).await?;
                fleet.routes.add(target.service_name(), target.address());
                fleet.targets.push(PlacedTarget {
                    data_centre: number % spec.data_centres.len(),
                    target,
                });
            }
        }
        Ok(fleet)
    }

    pub fn client(&self) -> CallClient {
        CallClient::new(CallRouter::Direct(self.routes.clone()))
    }

    pub fn slow_down(&self, service: &str, factor: f64) {
        slow_down(&self.targets, service, factor);
    }

    pub fn stop_data_centre(&mut self, data_centre: usize) {
        self.targets
            .retain(|placed| placed.data_centre != data_centre);
    }
}

pub fn slow_down(targets: &[PlacedTarget], service: &str, factor: f64) {
    let service = service_name(service);
    for placed in targets {
        if *placed.target.service_name() == service {
            placed.target.slow_down(factor);
        }
    }
}
