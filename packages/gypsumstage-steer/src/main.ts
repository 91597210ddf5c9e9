#!/usr/bin/env node
import { runBinary } from "@gypsumstage/shared/runBinary";
import { startSteer } from "./startSteer.js";

runBinary("gypsumstage-steer", startSteer);
