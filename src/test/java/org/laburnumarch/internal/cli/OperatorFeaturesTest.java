package org.laburnumarch.internal.cli;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber features of the operators' command line. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.laburnumarch.internal.cli")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.laburnumarch.internal.cli")
class OperatorFeaturesTest {}
