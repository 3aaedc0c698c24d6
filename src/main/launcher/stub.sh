#!/bin/sh
# LABURNUMARCH_JAVA_OPTS replaces the default JVM options -Xmx96m; LABURNUMARCH_TIER is the highest compiler tier.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -Xss512k -XX:TieredStopAtLevel="${LABURNUMARCH_TIER:-4}" ${LABURNUMARCH_JAVA_OPTS:--Xmx96m} -jar "$0" "$@"
