use {
    super::{ClassRow, PolicyForm, RouteRow},
    crate::policy::{MAX_CLASSES, MAX_ROUTES},
    strum::{EnumString, IntoStaticStr},
};

/// Action of a form button; only [`FormAction::Submit`] commits a policy, the others edit the form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormAction {
    Submit,
    AddClass,
    AddRoute,
    ChangeClass(RowAction),
    ChangeRoute(RowAction),
}

/// Edit of the row at `position`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowAction {
    pub operation: RowOperation,
    pub position: usize,
}

/// Operation on a row of the class or route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RowOperation {
    Remove,
    Up,
    Down,
}

impl FormAction {
    /// Parses the value of a button, such as `class.2.up`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "submit" => return Some(Self::Submit),
            "add-class" => return Some(Self::AddClass),
            "add-route" => return Some(Self::AddRoute),
            _ => {}
        }
        let (table, row_action) = text.split_once('.')?;
        let (position, operation) = row_action.split_once('.')?;
        let action = RowAction {
            operation: operation.parse().ok()?,
            position: position.parse().ok()?,
        };
        match table {
            "class" => Some(Self::ChangeClass(action)),
            "route" => Some(Self::ChangeRoute(action)),
            _ => None,
        }
    }

    /// Applies the edit to the rows of the form.
    pub fn apply(self, form: &mut PolicyForm) {
        match self {
            Self::AddClass if form.classes.len() < MAX_CLASSES => {
                form.classes.push(ClassRow::default());
            }
            Self::AddRoute if form.routes.len() < MAX_ROUTES => {
                form.routes.push(RouteRow::default());
            }
            Self::Submit | Self::AddClass | Self::AddRoute => {}
            Self::ChangeClass(action) => action.apply(&mut form.classes),
            Self::ChangeRoute(action) => action.apply(&mut form.routes),
        }
    }
}

impl RowAction {
    fn apply<R>(self, rows: &mut Vec<R>) {
        let position = self.position;
        match self.operation {
            RowOperation::Remove if position < rows.len() => {
                rows.remove(position);
            }
            RowOperation::Up if (1..rows.len()).contains(&position) => {
                rows.swap(position, position - 1);
            }
            RowOperation::Down if position.saturating_add(1) < rows.len() => {
                rows.swap(position, position + 1);
            }
            _ => {}
        }
    }
}
