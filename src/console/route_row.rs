use {
    super::policy_form::FormReader,
    crate::{
        context::{ClassName, ServiceName},
        policy::RoutePolicy,
    },
};

/// A route as the operator typed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteRow {
    pub service: String,
    /// Any method if empty.
    pub method: String,
    pub path: String,
    pub class: String,
}

impl RouteRow {
    pub(super) fn of(route: &RoutePolicy) -> Self {
        Self {
            service: route.service.to_string(),
            method: route.method.clone().unwrap_or_default(),
            path: route.path.clone(),
            class: route.class.to_string(),
        }
    }

    pub(super) fn set(&mut self, field: &str, value: String) {
        match field {
            "service" => self.service = value,
            "method" => self.method = value,
            "path" => self.path = value,
            "class" => self.class = value,
            _ => {}
        }
    }

    pub(super) fn read(&self, position: usize, reader: &mut FormReader) -> Option<RoutePolicy> {
        let field = |name| format!("routes[{position}].{name}");
        let service = reader.parse(field("service"), ServiceName::new(&self.service));
        let class = reader.parse(field("class"), ClassName::new(&self.class));
        Some(RoutePolicy {
            service: service?,
            method: (!self.method.is_empty()).then(|| self.method.clone()),
            path: self.path.clone(),
            class: class?,
        })
    }
}
