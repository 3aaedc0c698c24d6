/** Experiments that compare policies and the request path with baselines. */
package org.laburnumarch.internal.experiment;
