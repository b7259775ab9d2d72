"""Translation between mountstand and the users' platform; nothing outside knows its names."""
