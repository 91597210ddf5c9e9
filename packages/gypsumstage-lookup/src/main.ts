#!/usr/bin/env node
import { runBinary } from "@gypsumstage/shared/runBinary";
import { startLookup } from "./startLookup.js";

runBinary("gypsumstage-lookup", startLookup);
