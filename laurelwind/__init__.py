"""A request router that is aware of models, versions and cascades."""
