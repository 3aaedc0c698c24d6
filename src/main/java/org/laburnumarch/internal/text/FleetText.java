package org.laburnumarch.internal.text;

import io.vavr.collection.SortedMap;

/**
 * The checked fleet configuration: every name that it refers to exists and every value is in range.
 *
 * <p>Operators write it as a text in INI form, with one section per entry. Maps are keyed by the
 * name in the section header.
 */
public record FleetText(
    FleetSpec fleet,
    SortedMap<String, DataCentreSpec> dataCentres,
    SortedMap<String, RackSpec> racks,
    SortedMap<String, PoolSpec> pools,
    SortedMap<String, QueueSpec> queues,
    SortedMap<String, ServiceSpec> services,
    SortedMap<String, TeamSpec> teams,
    MaintenanceSpec maintenance) {}
