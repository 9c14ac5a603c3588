use {
    super::policy_form::FormReader,
    crate::{context::ClassName, policy::ClassPolicy},
};

/// A class as the operator typed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassRow {
    pub name: String,
    pub weight: String,
    pub deadline_ms: String,
    pub non_idempotent: bool,
    pub key_window_s: String,
}

impl ClassRow {
    pub(super) fn of(class: &ClassPolicy) -> Self {
        Self {
            name: class.name.to_string(),
            weight: class.weight.to_string(),
            deadline_ms: class.deadline_ms.to_string(),
            non_idempotent: class.non_idempotent,
            key_window_s: class.key_window_s.to_string(),
        }
    }

    pub(super) fn set(&mut self, field: &str, value: String) {
        match field {
            "name" => self.name = value,
            "weight" => self.weight = value,
            "deadline_ms" => self.deadline_ms = value,
            "non_idempotent" => self.non_idempotent = true,
            "key_window_s" => self.key_window_s = value,
            _ => {}
        }
    }

    pub(super) fn read(&self, position: usize, reader: &mut FormReader) -> Option<ClassPolicy> {
        let field = |name| format!("classes[{position}].{name}");
        let name = reader.parse(field("name"), ClassName::new(&self.name));
        let weight = reader.number(field("weight"), &self.weight);
        let deadline = reader.number(field("deadline_ms"), &self.deadline_ms);
        let window = reader.number(field("key_window_s"), &self.key_window_s);
        Some(ClassPolicy {
            name: name?,
            weight: weight?,
            deadline_ms: deadline?,
            non_idempotent: self.non_idempotent,
            key_window_s: window?,
        })
    }
}
