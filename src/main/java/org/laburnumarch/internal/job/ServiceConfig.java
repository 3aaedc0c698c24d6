package org.laburnumarch.internal.job;

/**
 * The configuration of a service, which is a pool of instances.
 *
 * @param name the service's name
 * @param rejectsOverload whether its workers reject tasks that exceed their free capacity
 * @param isSpare whether its instances are switched off, as a reserve for other pools
 * @param healthPath path of the workers' health check
 */
public record ServiceConfig(
    String name, boolean rejectsOverload, boolean isSpare, String healthPath) {}
