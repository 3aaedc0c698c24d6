package org.laburnumarch.internal.job;

/**
 * A service of the configuration in force: a pool of instances.
 *
 * @param name the service's name
 * @param isGuarded whether its workers refuse what does not fit
 * @param isSpare whether its instances are switched off
 * @param healthPath path of the workers' health check
 */
public record ServiceConfig(String name, boolean isGuarded, boolean isSpare, String healthPath) {}
